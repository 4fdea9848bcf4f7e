#ifndef BRIARLEAD_ROUTES_CRASH_REPORT_H_
#define BRIARLEAD_ROUTES_CRASH_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "briarlead_core/time.h"
#include "briarlead_routes/suspect_id.h"

namespace briarlead {

/// A backend server that ended while it began to run a request with `suspect`.
struct SuspectCrash {
  SuspectId suspect;
  std::uint64_t server = 0;  ///< Hash of the server's incarnation.
  Duration age = Duration::zero();

  friend bool operator==(const SuspectCrash&, const SuspectCrash&) = default;
};

/// A backend server that ran a request with `suspect` and went on.
struct SuspectSurvival {
  SuspectId suspect;
  Duration age = Duration::zero();

  friend bool operator==(const SuspectSurvival&,
                         const SuspectSurvival&) = default;
};

/// What a host knows of the suspects under which servers ended, by its own
/// requests and the reports of others.
struct CrashReport {
  /// Maximum number of entries of each kind in one message.
  static constexpr std::size_t kMaxCrashes = 32;
  static constexpr std::size_t kMaxSurvivals = 16;

  std::vector<SuspectCrash> crashes;
  std::vector<SuspectSurvival> survivals;

  [[nodiscard]] bool empty() const {
    return crashes.empty() && survivals.empty();
  }
  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_CRASH_REPORT_H_
