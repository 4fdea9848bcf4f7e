#ifndef BRIARLEAD_DISPATCH_ENGINE_HEALTH_H_
#define BRIARLEAD_DISPATCH_ENGINE_HEALTH_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// Ejects engines whose attempts fail, tries them again with one request at a
/// time, and gives those that return more work step by step.
class EngineHealth {
 public:
  /// Failures in a row that eject an engine.
  static constexpr std::uint32_t kFailuresToEject = 3;

  /// An engine came back, or began anew: it starts slowly.
  void OnReturned(const BackendServerId& server, TimePoint now);

  /// An attempt got past `server`.
  void OnSuccess(const BackendServerId& server, TimePoint now);

  /// An attempt failed on `server`.
  void OnFailure(const BackendServerId& server, TimePoint now);

  /// The engine is gone for good.
  void Forget(const BackendServerId& server) { engines_.erase(server); }

  /// Returns how many requests `server` may hold at once, of `slots`.
  [[nodiscard]] std::uint32_t AllowedSlots(const BackendServerId& server,
                                           std::uint32_t slots,
                                           TimePoint now) const;

  /// Returns whether `server` was ejected and has not proved well since.
  [[nodiscard]] bool IsOnProbation(const BackendServerId& server) const;

  /// Returns when an ejected engine may next be tried; nullopt when none is
  /// ejected at `now`.
  [[nodiscard]] std::optional<TimePoint> NextProbe(TimePoint now) const;

 private:
  struct Engine {
    std::uint32_t failures_in_row = 0;
    std::uint32_t ejections = 0;  ///< Without a success in between.
    std::optional<TimePoint> ejected_until;
    bool probing = false;                  ///< Ejected, not yet proved well.
    std::optional<TimePoint> returned_at;  ///< Start of the slow start.
  };

  std::unordered_map<BackendServerId, Engine> engines_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_ENGINE_HEALTH_H_
