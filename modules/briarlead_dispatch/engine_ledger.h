#ifndef BRIARLEAD_DISPATCH_ENGINE_LEDGER_H_
#define BRIARLEAD_DISPATCH_ENGINE_LEDGER_H_

#include <array>
#include <cstdint>
#include <span>
#include <vector>

#include "briarlead_blackboard/backend_server_record.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/rank.h"
#include "briarlead_core/time.h"
#include "briarlead_dispatch/active_placement.h"

namespace briarlead {

/// A prefill that an engine has not finished.
struct PendingPrefill {
  std::uint64_t ticket = 0;
  Rank rank = Rank::kPatient;
  Duration remaining{};
};

/// The ledger's state of a prefill engine.
struct PrefillEngine {
  BackendServerId id;
  std::uint64_t incarnation = 0;
  bool accepts_work = true;  ///< May be given new work.
  std::vector<PendingPrefill> pending;
  /// Time up to which elapsed work has been subtracted from `pending`.
  TimePoint advanced_to;
};

/// The ledger's state of a decode engine.
struct DecodeEngine {
  BackendServerId id;
  std::uint64_t incarnation = 0;
  bool accepts_work = true;  ///< May be given new work.
  std::uint32_t slots = 0;
  std::uint64_t kv_capacity_bytes = 0;  ///< 0 when the engine does not say.
  std::uint64_t kv_held_bytes = 0;
  std::uint64_t link_bytes_per_second = 0;  ///< 0 when the engine does not say.
  /// Requests granted on this engine and not released.
  std::vector<const ActivePlacement*> held;
};

/// Records exactly what one dispatcher has placed on its engines: prefill work,
/// decode slots, KV memory and links. Unlike load reports, these records do not
/// lag.
class EngineLedger {
 public:
  /// Sets the engines that accept new work. Engines that are not among them
  /// keep their running work and get no new work.
  void SetEngines(std::span<const BackendServerRecord* const> prefill,
                  std::span<const BackendServerRecord* const> decode,
                  TimePoint now);

  /// Records a granted request; `placement` must stay at its address until
  /// Release().
  void Hold(const ActivePlacement& placement, TimePoint now);

  /// Ends the prefill of `placement`; its decode slot and KV memory stay held.
  void EndPrefill(const ActivePlacement& placement, TimePoint now);

  /// Frees everything that `placement` holds.
  void Release(const ActivePlacement& placement, TimePoint now);

  /// Returns the prefill time that is ahead of a new prefill of `rank`.
  [[nodiscard]] Duration PrefillAhead(const PrefillEngine& engine,
                                      Rank rank,
                                      TimePoint now) const;

  /// Returns the expected time until the prefill with `ticket` ends; zero when
  /// it is overdue or unknown.
  [[nodiscard]] Duration PrefillRemaining(const BackendServerId& server,
                                          std::uint64_t ticket,
                                          TimePoint now) const;

  /// Returns the time to transfer `bytes` bytes to `engine` from `ready_at` on,
  /// sharing its link with the transfers expected at that time.
  [[nodiscard]] Duration TransferTime(const DecodeEngine& engine,
                                      std::uint64_t bytes,
                                      TimePoint ready_at) const;

  [[nodiscard]] const std::vector<PrefillEngine>& prefill_engines() const {
    return prefill_engines_;
  }
  [[nodiscard]] const std::vector<DecodeEngine>& decode_engines() const {
    return decode_engines_;
  }

  /// Returns the number of decode slots on engines that accept work.
  [[nodiscard]] std::uint32_t TotalSlots() const { return total_slots_; }
  /// Returns the number of free decode slots on engines that accept work.
  [[nodiscard]] std::uint32_t FreeSlots() const;
  /// Returns the number of prefill engines that accept work.
  [[nodiscard]] std::uint32_t PrefillEngineCount() const;
  /// Returns the number of decode slots held by requests of `rank`.
  [[nodiscard]] std::uint32_t HeldSlots(Rank rank) const {
    return held_by_rank_[static_cast<std::size_t>(rank)];
  }

 private:
  /// Subtracts the work done since `advanced_to` from the pending prefills.
  static void Advance(PrefillEngine& engine, TimePoint now);
  PrefillEngine* FindPrefill(const BackendServerId& id);
  DecodeEngine* FindDecode(const BackendServerId& id);

  std::vector<PrefillEngine> prefill_engines_;  ///< Sorted by id.
  std::vector<DecodeEngine> decode_engines_;    ///< Sorted by id.
  std::array<std::uint32_t, kRankCount> held_by_rank_{};
  std::uint32_t total_slots_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_ENGINE_LEDGER_H_
