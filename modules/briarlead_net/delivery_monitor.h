#ifndef BRIARLEAD_NET_DELIVERY_MONITOR_H_
#define BRIARLEAD_NET_DELIVERY_MONITOR_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "briarlead_core/time.h"

namespace briarlead {

/// Detects a connection that has fallen silent: its bytes leave, but the peer's
/// process doesn't read them. The kernel notices that late, and not at all
/// where something between the hosts acknowledges in the peer's name. The peer
/// sends a receipt for what it has read, the number of bytes since the
/// connection was opened.
class DeliveryMonitor {
 public:
  /// Time without any progress after which the connection counts as silent. A
  /// host sends a heartbeat every 400 ms, so the second one after the silence
  /// began uses a new connection.
  static constexpr Duration kSilenceLimit = std::chrono::milliseconds(700);
  /// Minimum time between two receipts on a connection.
  static constexpr Duration kReceiptInterval = std::chrono::milliseconds(100);
  /// Size of an encoded receipt, in bytes.
  static constexpr std::size_t kReceiptBytes = 8;

  /// Starts anew, for another connection.
  void Reset() { *this = {}; }

  /// Records that `bytes` more have left.
  void OnSent(std::size_t bytes, TimePoint now);

  /// Records a receipt. Returns false if it is impossible: it counts bytes that
  /// were not sent, or fewer than the receipt before.
  bool OnReceipt(std::uint64_t total_bytes, TimePoint now);

  /// Returns when the connection counts as silent unless a receipt comes before
  /// then; nullopt while nothing waits for a receipt.
  [[nodiscard]] std::optional<TimePoint> Deadline() const;

  /// Encodes a receipt for `total_bytes`, in network byte order.
  static std::string EncodeReceipt(std::uint64_t total_bytes);
  /// Decodes the receipt at the start of `bytes`; nullopt if it is incomplete.
  static std::optional<std::uint64_t> DecodeReceipt(std::string_view bytes);

 private:
  std::uint64_t sent_bytes_ = 0;
  std::uint64_t received_bytes_ = 0;
  /// Last progress, or when the first byte without a receipt was sent.
  TimePoint waiting_since_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_NET_DELIVERY_MONITOR_H_
