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
  if (sequence > window.highest_sequence) {
    const std::uint64_t shift = sequence - window.highest_sequence;
    window.accepted_bits =
        shift >= kWindowSize ? 0 : window.accepted_bits << shift;
    window.accepted_bits |= 1;
    window.highest_sequence = sequence;
    return true;
  }
  const std::uint64_t age = window.highest_sequence - sequence;
  if (age >= kWindowSize)
    return false;
  const std::uint64_t bit = std::uint64_t{1} << age;
  if ((window.accepted_bits & bit) != 0)
    return false;
  window.accepted_bits |= bit;
  return true;
}

}  // namespace briarlead
