#ifndef BRIARLEAD_NET_REPLAY_WINDOW_H_
#define BRIARLEAD_NET_REPLAY_WINDOW_H_

#include <cstdint>
#include <unordered_map>

#include "briarlead_core/identifiers.h"

namespace briarlead {

/// Refuses datagrams that were seen before. Each sender's newest incarnation
/// has a window of the last kWindowSize sequence numbers; older ones and
/// earlier incarnations are refused.
class ReplayWindow {
 public:
  static constexpr std::uint64_t kWindowSize = 64;

  /// Returns true once for each (sender, incarnation, sequence).
  bool Admit(const HostId& sender,
             std::uint64_t incarnation,
             std::uint64_t sequence);

 private:
  struct SenderWindow {
    std::uint64_t incarnation = 0;
    std::uint64_t highest = 0;
    std::uint64_t seen = 0;  ///< Bit n: `highest` - n has been seen.
  };

  std::unordered_map<HostId, SenderWindow> senders_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_NET_REPLAY_WINDOW_H_
