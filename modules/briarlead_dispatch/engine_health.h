#ifndef BRIARLEAD_DISPATCH_ENGINE_HEALTH_H_
#define BRIARLEAD_DISPATCH_ENGINE_HEALTH_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// Ejects engines whose attempts fail, probes them with one request at a time,
/// and increases the load of returning engines gradually.
class EngineHealth {
 public:
  /// Consecutive failures that eject an engine.
  static constexpr std::uint32_t kFailuresToEject = 3;

  /// An engine returned or restarted: its slow start begins.
  void OnReturned(const BackendServerId& server, TimePoint now);

  /// An attempt completed its stage on `server`.
  void OnSuccess(const BackendServerId& server, TimePoint now);

  /// An attempt failed on `server`.
  void OnFailure(const BackendServerId& server, TimePoint now);

  /// Removes the state of an engine that left permanently.
  void Forget(const BackendServerId& server) { engines_.erase(server); }

  /// Returns how many requests `server`, which has `slots` slots, may hold at
  /// once.
  [[nodiscard]] std::uint32_t AllowedSlots(const BackendServerId& server,
                                           std::uint32_t slots,
                                           TimePoint now) const;

  /// Returns whether `server` was ejected and no attempt has succeeded on it
  /// since.
  [[nodiscard]] bool IsOnProbation(const BackendServerId& server) const;

  /// Returns when the next ejected engine may be probed; nullopt when no engine
  /// is ejected at `now`.
  [[nodiscard]] std::optional<TimePoint> NextProbe(TimePoint now) const;

 private:
  struct Engine {
    std::uint32_t consecutive_failures = 0;
    /// Consecutive, without a success in between.
    std::uint32_t ejections = 0;
    std::optional<TimePoint> ejected_until;
    bool probing = false;                  ///< Ejected, and no success since.
    std::optional<TimePoint> returned_at;  ///< Start of the slow start.
  };

  std::unordered_map<BackendServerId, Engine> engines_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_ENGINE_HEALTH_H_
