#include "briarlead_registry/announcement_admission.h"

#include <algorithm>

namespace briarlead {

bool AnnouncementAdmission::Admit(bool has_leader, TimePoint now) {
  const double rate = has_leader ? kRate : kRateWithoutLeader;
  const double burst = has_leader ? kBurst : kBurstWithoutLeader;
  if (last_.has_value())
    tokens_ += rate * ToSeconds(now - *last_);
  tokens_ = std::min(tokens_, burst);
  last_ = now;
  if (tokens_ < 1)
    return false;
  tokens_ -= 1;
  return true;
}

}  // namespace briarlead
