#ifndef BRIARLEAD_FORWARD_DIRECTORY_FRESHNESS_H_
#define BRIARLEAD_FORWARD_DIRECTORY_FRESHNESS_H_

#include <chrono>
#include <optional>

#include "briarlead_core/time.h"

namespace briarlead {

/// Whether this host's directory of servers can lack one that others use. A
/// host that was cut off from the control hosts, or stood still, hears them
/// again at once, also by messages that are old; it knows what it has missed
/// only after some heartbeats, each of which compares the directories.
class DirectoryFreshness {
 public:
  /// Longest time between two calls of OnStep(); after a longer one the process
  /// has stood still.
  static constexpr Duration kMaxStep = std::chrono::milliseconds(400);
  /// Time from the end of a silence until the directories are compared: two
  /// heartbeats and their answers.
  static constexpr Duration kSettleTime = std::chrono::milliseconds(1000);

  /// Must be called several times in kMaxStep. `hears_majority` says whether
  /// most control hosts answered the latest heartbeats.
  void OnStep(bool hears_majority, TimePoint now) {
    const bool stood_still =
        last_step_.has_value() && now - *last_step_ > kMaxStep;
    if (stood_still || (had_majority_ && !hears_majority))
      settles_at_ = now + kSettleTime;
    had_majority_ = had_majority_ || hears_majority;
    last_step_ = now;
  }

  /// Returns whether the directory is as new as that of the control hosts.
  [[nodiscard]] bool IsCurrent(bool hears_majority, TimePoint now) const {
    return hears_majority && last_step_.has_value() &&
           now - *last_step_ <= kMaxStep && now >= settles_at_;
  }

 private:
  std::optional<TimePoint> last_step_;
  bool had_majority_ = false;
  TimePoint settles_at_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_DIRECTORY_FRESHNESS_H_
