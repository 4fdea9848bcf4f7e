#ifndef BRIARLEAD_DISPATCH_ACTIVE_PLACEMENT_H_
#define BRIARLEAD_DISPATCH_ACTIVE_PLACEMENT_H_

#include <cstdint>
#include <optional>

#include "briarlead_core/time.h"
#include "briarlead_dispatch/placement.h"
#include "briarlead_dispatch/placement_queue.h"

namespace briarlead {

/// A request that a dispatcher has accepted, and where it stands.
struct ActivePlacement {
  std::uint64_t ticket = 0;  ///< Names it within the dispatcher.
  PlacementRequest placement;
  PlacementStage stage = PlacementStage::kQueued;
  std::uint32_t attempt = 0;   ///< The current or last attempt.
  std::uint32_t failures = 0;  ///< Attempts that failed.
  bool was_paused = false;     ///< Made room for other work once already.
  bool late = false;           ///< It started after its latest start.
  bool yields = false;         ///< Late, and runs on spare capacity.
  TimePoint arrival;           ///< At the entry host, by this process's clock.
  TimePoint latest_start;      ///< Started later, it misses its target.
  PlacementCost cost;          ///< Expected when it was queued.

  // Set from the grant on.
  BackendServerId prefill_server;
  BackendServerId decode_server;
  std::uint32_t prefill_tokens = 0;  ///< Tokens not expected in the cache.
  std::uint64_t kv_bytes = 0;        ///< To move; expected, then as reported.
  std::uint64_t memory_bytes = 0;    ///< KV memory kept for it while decoding.
  bool prefill_alone = false;        ///< Nothing was ahead on the engine.
  bool waits_for_slot = false;       ///< Started on a slot expected free.
  Duration prefill_time{};           ///< Expected time on the engine alone.
  Duration transfer_time{};          ///< Expected.
  TimePoint granted_at;
  TimePoint ready_at;    ///< Expected, then actual, end of the prefill.
  bool overdue = false;  ///< Its stage took longer than expected already.

  // Set from the first token on.
  TimePoint first_token_at;
  TimePoint progress_at;
  std::uint32_t attempt_tokens = 0;  ///< Delivered by this attempt so far.
  bool reports_progress = false;
  /// Since when the engine's reports leave it out, though it should decode.
  std::optional<TimePoint> missing_since;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_ACTIVE_PLACEMENT_H_
