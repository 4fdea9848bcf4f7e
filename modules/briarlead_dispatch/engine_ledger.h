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

/// What the ledger knows of a prefill engine.
struct PrefillEngine {
  BackendServerId id;
  std::uint64_t incarnation = 0;
  bool accepts = true;  ///< May be given new work.
  std::vector<PendingPrefill> pending;
  TimePoint advanced_to;  ///< Up to when `pending` is worked off.
};

/// What the ledger knows of a decode engine.
struct DecodeEngine {
  BackendServerId id;
  std::uint64_t incarnation = 0;
  bool accepts = true;  ///< May be given new work.
  std::uint32_t slots = 0;
  std::uint64_t kv_capacity_bytes = 0;  ///< 0 when the engine does not say.
  std::uint64_t kv_held_bytes = 0;
  std::uint64_t link_bytes_per_second = 0;  ///< 0 when the engine does not say.
  std::vector<const ActivePlacement*> held;  ///< From the grant on.
};

/// The exact account of what one dispatcher has placed on its engines: prefill
/// work, decode slots, KV memory and links. Unlike load reports it does not
/// lag.
class EngineLedger {
 public:
  /// Takes over the engines that may be given new work. Engines that are not
  /// among them keep what they run and get nothing new.
  void SetEngines(std::span<const BackendServerRecord* const> prefill,
                  std::span<const BackendServerRecord* const> decode,
                  TimePoint now);

  /// Enters a granted request; it must stay where it is until Release().
  void Hold(const ActivePlacement& placement, TimePoint now);

  /// The prefill of `placement` ended; its slot and KV memory stay held.
  void EndPrefill(const ActivePlacement& placement, TimePoint now);

  /// Frees everything that `placement` holds.
  void Release(const ActivePlacement& placement, TimePoint now);

  /// Returns the work that a new prefill of `rank` finds ahead of it.
  [[nodiscard]] Duration PrefillAhead(const PrefillEngine& engine,
                                      Rank rank,
                                      TimePoint now) const;

  /// Returns the expected time until the prefill with `ticket` ends; zero when
  /// it is overdue or unknown.
  [[nodiscard]] Duration PrefillRemaining(const BackendServerId& server,
                                          std::uint64_t ticket,
                                          TimePoint now) const;

  /// Returns the time that `bytes` take to `engine` from `ready_at` on,
  /// sharing its link with the transfers expected then.
  [[nodiscard]] Duration TransferTime(const DecodeEngine& engine,
                                      std::uint64_t bytes,
                                      TimePoint ready_at) const;

  [[nodiscard]] const std::vector<PrefillEngine>& prefill_engines() const {
    return prefill_engines_;
  }
  [[nodiscard]] const std::vector<DecodeEngine>& decode_engines() const {
    return decode_engines_;
  }

  /// Returns the decode slots of the engines that take work.
  [[nodiscard]] std::uint32_t TotalSlots() const { return total_slots_; }
  /// Returns the slots that nothing holds, on engines that take work.
  [[nodiscard]] std::uint32_t FreeSlots() const;
  /// Returns the prefill engines that take work.
  [[nodiscard]] std::uint32_t PrefillEngineCount() const;
  /// Returns the number of slots that requests of `rank` hold.
  [[nodiscard]] std::uint32_t HeldSlots(Rank rank) const {
    return held_by_rank_[static_cast<std::size_t>(rank)];
  }

 private:
  static void Advance(PrefillEngine& engine, TimePoint now);
  PrefillEngine* FindPrefill(const BackendServerId& id);
  DecodeEngine* FindDecode(const BackendServerId& id);

  std::vector<PrefillEngine> prefill_engines_;  ///< In order of id.
  std::vector<DecodeEngine> decode_engines_;    ///< In order of id.
  std::array<std::uint32_t, kRankCount> held_by_rank_{};
  std::uint32_t total_slots_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_ENGINE_LEDGER_H_
