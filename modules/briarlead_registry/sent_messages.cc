#include "briarlead_registry/sent_messages.h"

#include <fmt/format.h>

#include <variant>

namespace briarlead {

namespace {

std::string RenderFamily(
    std::string_view name,
    std::string_view help,
    const std::array<std::uint64_t, kMessageKindCount>& values) {
  std::string text =
      fmt::format("# HELP {0} {1}\n# TYPE {0} counter\n", name, help);
  for (std::size_t i = 0; i < values.size(); ++i) {
    text += fmt::format("{}{{kind=\"{}\"}} {}\n", name,
                        ToString(static_cast<MessageKind>(i)), values[i]);
  }
  return text;
}

}  // namespace

std::string_view ToString(MessageKind kind) {
  switch (kind) {
    case MessageKind::kHostHeartbeat:
      return "host_heartbeat";
    case MessageKind::kRoutingUpdate:
      return "routing_update";
    case MessageKind::kServerPush:
      return "server_push";
    case MessageKind::kDirectoryRequest:
      return "directory_request";
    case MessageKind::kDirectoryUpdate:
      return "directory_update";
    case MessageKind::kOther:
      return "other";
  }
  return "unknown";
}

MessageKind MessageKindOf(const RoutingMessage& message) {
  if (std::holds_alternative<HostHeartbeat>(message))
    return MessageKind::kHostHeartbeat;
  if (std::holds_alternative<RoutingUpdate>(message))
    return MessageKind::kRoutingUpdate;
  if (std::holds_alternative<DirectoryRequest>(message))
    return MessageKind::kDirectoryRequest;
  if (std::holds_alternative<DirectoryUpdate>(message))
    return MessageKind::kDirectoryUpdate;
  return MessageKind::kOther;
}

void SentMessages::OnSent(MessageKind kind, std::size_t bytes) {
  const auto index = static_cast<std::size_t>(kind);
  ++messages_[index];
  bytes_[index] += bytes;
}

std::uint64_t SentMessages::messages(MessageKind kind) const {
  return messages_[static_cast<std::size_t>(kind)];
}

std::uint64_t SentMessages::bytes(MessageKind kind) const {
  return bytes_[static_cast<std::size_t>(kind)];
}

std::string SentMessages::Render() const {
  return RenderFamily("briarlead_frames_total",
                      "Messages sent to other processes.", messages_) +
         RenderFamily("briarlead_frame_bytes_total",
                      "Bytes of messages sent, without frame headers.", bytes_);
}

}  // namespace briarlead
