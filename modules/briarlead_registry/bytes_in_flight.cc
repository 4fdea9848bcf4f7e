#include "briarlead_registry/bytes_in_flight.h"

namespace briarlead {

bool BytesInFlight::MaySend(const Endpoint& host,
                            std::size_t bytes,
                            TimePoint now) {
  if (bytes <= kSmallBytes)
    return true;
  Expire(now);
  // One message alone may exceed the total, so that any directory gets through.
  return !messages_.contains(host) &&
         (total_ == 0 || total_ + bytes <= kMaxTotalBytes);
}

void BytesInFlight::OnSent(const Endpoint& host,
                           std::uint64_t revision,
                           std::size_t bytes,
                           TimePoint now) {
  if (bytes <= kSmallBytes)
    return;
  OnLost(host);
  messages_[host] = {revision, bytes, now};
  total_ += bytes;
}

void BytesInFlight::OnAcknowledged(const Endpoint& host,
                                   std::uint64_t revision) {
  const auto found = messages_.find(host);
  if (found != messages_.end() && revision >= found->second.revision)
    OnLost(host);
}

void BytesInFlight::OnLost(const Endpoint& host) {
  const auto found = messages_.find(host);
  if (found == messages_.end())
    return;
  total_ -= found->second.bytes;
  messages_.erase(found);
}

void BytesInFlight::Expire(TimePoint now) {
  std::erase_if(messages_, [&](const auto& it) {
    if (now - it.second.sent_at < kResendTime)
      return false;
    total_ -= it.second.bytes;
    return true;
  });
}

}  // namespace briarlead
