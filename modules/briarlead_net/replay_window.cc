#include "briarlead_net/replay_window.h"

namespace briarlead {

bool ReplayWindow::Admit(const HostId& sender,
                         std::uint64_t incarnation,
                         std::uint64_t sequence) {
  SenderWindow& window = senders_[sender];
  if (incarnation < window.incarnation)
    return false;
  if (incarnation > window.incarnation)
    window = {incarnation, 0, 0};
  if (sequence > window.highest) {
    const std::uint64_t step = sequence - window.highest;
    window.seen = step >= kWindowSize ? 0 : window.seen << step;
    window.seen |= 1;
    window.highest = sequence;
    return true;
  }
  const std::uint64_t age = window.highest - sequence;
  if (age >= kWindowSize)
    return false;
  const std::uint64_t bit = std::uint64_t{1} << age;
  if ((window.seen & bit) != 0)
    return false;
  window.seen |= bit;
  return true;
}

}  // namespace briarlead
