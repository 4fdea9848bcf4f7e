#ifndef BRIARLEAD_REGISTRY_BYTES_IN_FLIGHT_H_
#define BRIARLEAD_REGISTRY_BYTES_IN_FLIGHT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// Bounds the bytes of large messages that are on their way: at most one such
/// message to a host, and a total for all hosts. Thousands of servers are some
/// hundred kilobytes for each of hundreds of hosts.
class BytesInFlight {
 public:
  /// Messages up to this size, in bytes, are not counted.
  static constexpr std::size_t kSmallBytes = 8UL * 1024;
  /// Enough for one control host alone to serve 300 hosts that all start, with
  /// 3,000 servers, within some seconds.
  static constexpr std::size_t kMaxTotalBytes = 24UL * 1024 * 1024;
  /// Time after which an unacknowledged message counts as lost.
  static constexpr Duration kResendTime = std::chrono::seconds(2);

  /// Returns whether `bytes` may be sent to `host` now.
  [[nodiscard]] bool MaySend(const Endpoint& host,
                             std::size_t bytes,
                             TimePoint now);
  /// Records that a message that takes `host` to `revision` was sent.
  void OnSent(const Endpoint& host,
              std::uint64_t revision,
              std::size_t bytes,
              TimePoint now);
  /// Records that `host` has `revision`.
  void OnAcknowledged(const Endpoint& host, std::uint64_t revision);
  /// Records that what was on its way to `host` may be lost.
  void OnLost(const Endpoint& host);

  [[nodiscard]] std::size_t total() const { return total_; }

 private:
  struct Message {
    std::uint64_t revision = 0;
    std::size_t bytes = 0;
    TimePoint sent_at;
  };

  void Expire(TimePoint now);

  std::map<Endpoint, Message> messages_;
  std::size_t total_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_REGISTRY_BYTES_IN_FLIGHT_H_
