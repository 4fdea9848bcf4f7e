#ifndef BRIARLEAD_ROUTES_CRASH_REPORT_H_
#define BRIARLEAD_ROUTES_CRASH_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "briarlead_core/time.h"
#include "briarlead_routes/suspect_id.h"

namespace briarlead {

/// An engine that ended while it began to answer a prompt with `part`.
struct SuspectCrash {
  SuspectId part;
  std::uint64_t engine = 0;  ///< Hash of the engine's incarnation.
  Duration age = Duration::zero();

  friend bool operator==(const SuspectCrash&, const SuspectCrash&) = default;
};

/// An engine that answered a prompt with `part` and went on.
struct SuspectSurvival {
  SuspectId part;
  Duration age = Duration::zero();

  friend bool operator==(const SuspectSurvival&,
                         const SuspectSurvival&) = default;
};

/// What a host knows of the parts of prompts under which engines ended, by its
/// own requests and the reports of others.
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
