#ifndef BRIARLEAD_DISPATCH_ACTIVE_PLACEMENT_H_
#define BRIARLEAD_DISPATCH_ACTIVE_PLACEMENT_H_

#include <cstdint>
#include <optional>

#include "briarlead_core/time.h"
#include "briarlead_dispatch/placement.h"
#include "briarlead_dispatch/placement_queue.h"

namespace briarlead {

/// A request that a dispatcher has accepted, and the state of its current
/// attempt.
struct ActivePlacement {
  std::uint64_t ticket = 0;  ///< Identifies the request within the dispatcher.
  PlacementRequest placement;
  PlacementStage stage = PlacementStage::kQueued;
  std::uint32_t attempt = 0;   ///< Number of the current or last attempt.
  std::uint32_t failures = 0;  ///< Attempts that failed.
  bool was_paused = false;     ///< Was paused once already to free a slot.
  bool late = false;           ///< The request started after `latest_start`.
  /// Late and running on spare capacity, so it may be paused.
  bool preemptible = false;
  TimePoint arrival;  ///< Arrival at the entry host, by this process's clock.
  TimePoint latest_start;  ///< A later start misses the first-token target.
  PlacementCost cost;  ///< Expected cost, computed when the request was queued.

  // Set when the request is granted.
  BackendServerId prefill_server;
  BackendServerId decode_server;
  /// Prompt tokens not expected in the prefix cache.
  std::uint32_t prefill_tokens = 0;
  /// Size of the KV transfer: expected, then as reported.
  std::uint64_t kv_bytes = 0;
  std::uint64_t memory_bytes = 0;  ///< KV memory reserved on the decode engine.
  bool prefill_alone = false;   ///< No other prefill was ahead on the engine.
  bool waits_for_slot = false;  ///< Granted before its decode slot was free.
  /// Expected prefill time, without time in the engine's queue.
  Duration prefill_time{};
  Duration transfer_time{};  ///< Expected time of the KV transfer.
  TimePoint granted_at;
  TimePoint ready_at;    ///< Expected, then actual, end of the prefill.
  bool overdue = false;  ///< The stage has already exceeded its expected time.

  // Set when the first token arrives.
  TimePoint first_token_at;
  TimePoint last_progress_at;
  /// Tokens delivered by this attempt so far.
  std::uint32_t attempt_tokens = 0;
  bool reports_progress = false;
  /// Since when the engine's reports have omitted this request although it
  /// should be decoding there.
  std::optional<TimePoint> missing_since;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_ACTIVE_PLACEMENT_H_
