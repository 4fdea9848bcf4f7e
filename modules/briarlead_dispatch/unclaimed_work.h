#ifndef BRIARLEAD_DISPATCH_UNCLAIMED_WORK_H_
#define BRIARLEAD_DISPATCH_UNCLAIMED_WORK_H_

#include <functional>
#include <map>
#include <span>
#include <vector>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_dispatch/placement.h"

namespace briarlead {

/// Finds work that engines report to hold and no living request claims.
class UnclaimedWork {
 public:
  /// Decides whether a reported attempt belongs to a living request.
  using IsClaimed = std::function<bool(const HeldAttempt&)>;

  explicit UnclaimedWork(Duration grace) : grace_(grace) {}

  /// Takes a report of all that `server` holds; returns what stayed unclaimed
  /// for the grace time and is to be cancelled.
  [[nodiscard]] std::vector<HeldAttempt> OnReport(
      const BackendServerId& server,
      std::span<const HeldAttempt> held,
      const IsClaimed& is_claimed,
      TimePoint now);

  /// The engine is gone.
  void Forget(const BackendServerId& server) { first_seen_.erase(server); }

 private:
  Duration grace_;
  /// By engine: unclaimed attempts of its last report and when each was first
  /// seen.
  std::map<BackendServerId, std::map<HeldAttempt, TimePoint>> first_seen_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_UNCLAIMED_WORK_H_
