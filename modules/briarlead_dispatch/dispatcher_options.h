#ifndef BRIARLEAD_DISPATCH_DISPATCHER_OPTIONS_H_
#define BRIARLEAD_DISPATCH_DISPATCHER_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "briarlead_core/time.h"

namespace briarlead {

/// Settings of one Dispatcher. The defaults suit engines that keep a prefill
/// result for 0.8 s.
struct DispatcherOptions {
  /// How long a prefill result lives before it must be used.
  Duration kv_lifetime = std::chrono::milliseconds(800);
  /// Share of the decode slots that patient work gets however much urgent
  /// work waits.
  double patient_floor = 0.25;
  /// Largest share of the decode slots that one customer may hold while other
  /// customers have work here.
  double customer_cap = 0.5;
  /// Share of the grants that goes to requests already past their target.
  double late_share = 0.02;
  /// A request is accepted when its forecast wait is below this part of what
  /// its first-token target leaves for waiting.
  double admission_margin = 1.5;
  /// Forecast time to work off the late backlog up to which patient work that
  /// will be late is still accepted.
  Duration late_backlog_limit = std::chrono::seconds(60);
  /// A late urgent request is given up once it has waited this many times its
  /// first-token target.
  double urgent_late_limit = 3.0;
  std::size_t max_queued_per_rank = 10'000;
  std::size_t max_queued_per_customer = 2'000;
  /// Prefill work that may wait in front of a patient request when it starts.
  Duration prefill_lookahead = std::chrono::milliseconds(30);
  /// Least probability that a decode slot is free in time for a patient
  /// prefill to start before one is free; when none is, a stream makes room.
  /// Above 1 no prefill starts early.
  double overlap_confidence = 0.8;
  /// Largest number of decode slots kept for urgent work, as a share.
  double max_urgent_reserve = 0.07;
  /// Probability that an urgent request finds a slot within its target, which
  /// the reserve is sized for.
  double urgent_confidence = 0.995;
  /// Attempts of one request before it is given up.
  std::uint32_t max_attempts = 4;
  /// How long unclaimed work may stay on an engine after a takeover or a lost
  /// message before it is cancelled.
  Duration unclaimed_grace = std::chrono::seconds(5);
  /// A decode that reported progress and then none for this long is stalled.
  Duration decode_stall_limit = std::chrono::seconds(5);
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_DISPATCHER_OPTIONS_H_
