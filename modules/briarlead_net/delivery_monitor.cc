#include "briarlead_net/delivery_monitor.h"

#include <glib.h>

#include <cstring>

namespace briarlead {

static_assert(DeliveryMonitor::kReceiptBytes == sizeof(std::uint64_t));

void DeliveryMonitor::OnSent(std::size_t bytes, TimePoint now) {
  if (sent_bytes_ == received_bytes_)
    waiting_since_ = now;
  sent_bytes_ += bytes;
}

bool DeliveryMonitor::OnReceipt(std::uint64_t total_bytes, TimePoint now) {
  if (total_bytes > sent_bytes_ || total_bytes < received_bytes_)
    return false;
  if (total_bytes > received_bytes_)
    waiting_since_ = now;
  received_bytes_ = total_bytes;
  return true;
}

std::optional<TimePoint> DeliveryMonitor::Deadline() const {
  if (sent_bytes_ == received_bytes_)
    return std::nullopt;
  return waiting_since_ + kSilenceLimit;
}

std::string DeliveryMonitor::EncodeReceipt(std::uint64_t total_bytes) {
  const guint64 value = GUINT64_TO_BE(total_bytes);
  std::string bytes(kReceiptBytes, '\0');
  std::memcpy(bytes.data(), &value, kReceiptBytes);
  return bytes;
}

std::optional<std::uint64_t> DeliveryMonitor::DecodeReceipt(
    std::string_view bytes) {
  if (bytes.size() < kReceiptBytes)
    return std::nullopt;
  guint64 value = 0;
  std::memcpy(&value, bytes.data(), kReceiptBytes);
  return GUINT64_FROM_BE(value);
}

}  // namespace briarlead
