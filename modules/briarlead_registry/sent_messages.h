#ifndef BRIARLEAD_REGISTRY_SENT_MESSAGES_H_
#define BRIARLEAD_REGISTRY_SENT_MESSAGES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "briarlead_routes/routing_message.h"

namespace briarlead {

/// What a control host sends, for the count of its traffic.
enum class MessageKind : std::uint8_t {
  kHostHeartbeat,
  kRoutingUpdate,
  kServerPush,  ///< Changed servers, sent unasked.
  kDirectoryRequest,
  kDirectoryUpdate,
  kOther,
};
inline constexpr std::size_t kMessageKindCount = 6;

std::string_view ToString(MessageKind kind);
MessageKind MessageKindOf(const RoutingMessage& message);

/// Counts messages and their bytes by kind.
class SentMessages {
 public:
  void OnSent(MessageKind kind, std::size_t bytes);

  [[nodiscard]] std::uint64_t messages(MessageKind kind) const;
  /// Without frame headers and tags.
  [[nodiscard]] std::uint64_t bytes(MessageKind kind) const;

  /// Returns the counts in the text format of Prometheus.
  [[nodiscard]] std::string Render() const;

 private:
  std::array<std::uint64_t, kMessageKindCount> messages_{};
  std::array<std::uint64_t, kMessageKindCount> bytes_{};
};

}  // namespace briarlead

#endif  // BRIARLEAD_REGISTRY_SENT_MESSAGES_H_
