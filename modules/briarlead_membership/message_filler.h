#ifndef BRIARLEAD_MEMBERSHIP_MESSAGE_FILLER_H_
#define BRIARLEAD_MEMBERSHIP_MESSAGE_FILLER_H_

#include <cstddef>

#include "briarlead_membership/gossip_codec.h"
#include "briarlead_membership/gossip_message.h"

namespace briarlead {

/// Adds entries to a message up to a maximum encoded size.
class MessageFiller {
 public:
  /// Fills `message`, which must outlive this object, up to `max_bytes`.
  explicit MessageFiller(GossipMessage& message,
                         std::size_t max_bytes = kMaxGossipBytes)
      : message_(message),
        max_bytes_(max_bytes),
        bytes_(EncodeGossip(message).size()) {}

  /// Adds the entry. Returns false and adds nothing when it does not fit.
  bool Add(const HostEntry& entry) { return AddTo(message_.hosts, entry); }
  bool Add(const ServerEntry& entry) { return AddTo(message_.servers, entry); }
  bool Add(const RelayedAnnouncement& announcement) {
    return AddTo(message_.announcements, announcement);
  }
  bool Add(const DataCentreSummary& summary) {
    return AddTo(message_.summaries, summary);
  }

  /// Returns the encoded size of the message so far.
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

 private:
  /// The number of entries of each type is encoded in one byte.
  static constexpr std::size_t kMaxEntries = 255;

  template <typename T>
  bool AddTo(std::vector<T>& entries, const T& entry) {
    const std::size_t size = EncodedSize(entry);
    if (bytes_ + size > max_bytes_ || entries.size() >= kMaxEntries)
      return false;
    bytes_ += size;
    entries.push_back(entry);
    return true;
  }

  GossipMessage& message_;
  std::size_t max_bytes_;
  std::size_t bytes_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_MEMBERSHIP_MESSAGE_FILLER_H_
