#ifndef BRIARLEAD_DISPATCH_ORPHANED_WORK_H_
#define BRIARLEAD_DISPATCH_ORPHANED_WORK_H_

#include <functional>
#include <map>
#include <span>
#include <vector>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_dispatch/placement.h"

namespace briarlead {

/// Finds orphaned work: attempts that engines report to hold and that belong to
/// no known request.
class OrphanedWork {
 public:
  /// Returns whether a reported attempt belongs to a known request.
  using IsKnown = std::function<bool(const HeldAttempt&)>;

  explicit OrphanedWork(Duration grace) : grace_(grace) {}

  /// Handles a report of all attempts that `server` holds. Returns the attempts
  /// that have been orphaned for the grace period and are to be cancelled.
  [[nodiscard]] std::vector<HeldAttempt> OnReport(
      const BackendServerId& server,
      std::span<const HeldAttempt> held,
      const IsKnown& is_known,
      TimePoint now);

  /// Removes the state of an engine that left.
  void Forget(const BackendServerId& server) { first_seen_.erase(server); }

 private:
  Duration grace_;
  /// For each engine, the orphaned attempts in its last report and when each
  /// was first reported.
  std::map<BackendServerId, std::map<HeldAttempt, TimePoint>> first_seen_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_ORPHANED_WORK_H_
