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
  /// How long an engine keeps a prefill result before it must be used.
  Duration kv_lifetime = std::chrono::milliseconds(800);
  /// Share of the decode slots that patient work gets regardless of how much
  /// urgent work waits.
  double patient_floor = 0.25;
  /// Largest share of the decode slots that one customer may hold while other
  /// customers have requests in this shard.
  double customer_cap = 0.5;
  /// Share of the granted slot time that goes to requests past their target.
  double late_share = 0.02;
  /// A request is admitted when its forecast wait is at most this multiple of
  /// the time that its first-token target leaves for waiting.
  double admission_margin = 1.5;
  /// Patient work that will be late is still admitted while the late backlog is
  /// forecast to take no longer than this.
  Duration late_backlog_limit = std::chrono::seconds(60);
  /// A late urgent request is refused once it has waited this many times its
  /// first-token target.
  double urgent_late_limit = 3.0;
  std::size_t max_queued_per_rank = 10'000;
  std::size_t max_queued_per_customer = 2'000;
  /// Largest amount of prefill work that may be ahead of a patient request when
  /// it starts.
  Duration prefill_lookahead = std::chrono::milliseconds(30);
  /// Minimum probability that a decode slot becomes free in time, for a patient
  /// prefill to start before a slot is free. If none becomes free in time,
  /// another stream is paused. Above 1, no prefill starts early.
  double overlap_confidence = 0.8;
  /// Largest share of the decode slots kept free for urgent work.
  double max_urgent_reserve = 0.07;
  /// Target probability that an urgent request finds a slot in time; determines
  /// the size of the reserve.
  double urgent_confidence = 0.995;
  /// Failed attempts after which a request is refused.
  std::uint32_t max_attempts = 4;
  /// How long work without a known request may stay on an engine, after a
  /// takeover or a lost message, before it is cancelled.
  Duration orphan_grace = std::chrono::seconds(5);
  /// A decode attempt that has reported progress is stalled when it reports
  /// none for this long.
  Duration decode_stall_limit = std::chrono::seconds(5);
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_DISPATCHER_OPTIONS_H_
