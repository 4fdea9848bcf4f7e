#ifndef BRIARLEAD_REGISTRY_ANNOUNCEMENT_ADMISSION_H_
#define BRIARLEAD_REGISTRY_ANNOUNCEMENT_ADMISSION_H_

#include <optional>

#include "briarlead_core/time.h"

namespace briarlead {

/// Decides whether to take an announcement of a ready server now or to ask the
/// server to announce itself again. While the group has no leader, its election
/// comes first: thousands of servers that announce themselves at once would
/// delay its messages.
class AnnouncementAdmission {
 public:
  /// Announcements per second, and at once, while there is no leader.
  static constexpr double kRateWithoutLeader = 500;
  static constexpr double kBurstWithoutLeader = 250;
  /// The same with a leader: all of 3,000 servers, each every 1.2 s.
  static constexpr double kRate = 2500;
  static constexpr double kBurst = 1250;

  [[nodiscard]] bool Admit(bool has_leader, TimePoint now);

 private:
  double tokens_ = kBurstWithoutLeader;
  std::optional<TimePoint> last_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_REGISTRY_ANNOUNCEMENT_ADMISSION_H_
