#ifndef BRIARLEAD_NET_REPLAY_WINDOW_H_
#define BRIARLEAD_NET_REPLAY_WINDOW_H_

#include <cstdint>
#include <unordered_map>

#include "briarlead_core/identifiers.h"

namespace briarlead {

/// Rejects replayed datagrams. For each sender, the window covers the last
/// kWindowSize sequence numbers of its newest incarnation. Sequence numbers
/// below the window and datagrams of earlier incarnations are rejected.
class ReplayWindow {
 public:
  /// Number of sequence numbers in a window, one bit each.
  static constexpr std::uint64_t kWindowSize = 64;

  /// Returns whether the datagram is to be accepted, and records it. Returns
  /// true at most once for each (sender, incarnation, sequence).
  bool Admit(const HostId& sender,
             std::uint64_t incarnation,
             std::uint64_t sequence);

 private:
  struct SenderWindow {
    std::uint64_t incarnation = 0;
    std::uint64_t highest_sequence = 0;
    /// Bit n is set if `highest_sequence` - n has been accepted.
    std::uint64_t accepted_bits = 0;
  };

  std::unordered_map<HostId, SenderWindow> senders_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_NET_REPLAY_WINDOW_H_
