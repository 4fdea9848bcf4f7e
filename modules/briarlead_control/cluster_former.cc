#include "briarlead_control/cluster_former.h"

#include <algorithm>
#include <utility>

namespace briarlead {

namespace {

constexpr char kFormedTag = 'F';
constexpr char kEmptyTag = 'E';
constexpr std::size_t kMaxMessageBytes = 256;

}  // namespace

std::string EncodeFormingMessage(const FormingMessage& message) {
  return (message.formed ? kFormedTag : kEmptyTag) + message.host.value();
}

Result<FormingMessage> DecodeFormingMessage(std::string_view bytes) {
  if (bytes.size() < 2 || bytes.size() > kMaxMessageBytes ||
      (bytes[0] != kFormedTag && bytes[0] != kEmptyTag)) {
    return Fail(ErrorCode::kCorrupt, "not a forming message");
  }
  return FormingMessage{HostId(std::string(bytes.substr(1))),
                        bytes[0] == kFormedTag};
}

ClusterFormer::ClusterFormer(HostId self, std::vector<HostId> members)
    : self_(std::move(self)) {
  std::sort(members.begin(), members.end());
  is_first_ = !members.empty() && members.front() == self_;
  for (HostId& it : members) {
    if (it != self_)
      others_.push_back({std::move(it), std::nullopt});
  }
}

void ClusterFormer::OnMessage(const FormingMessage& message, TimePoint now) {
  const auto it = std::find_if(
      others_.begin(), others_.end(),
      [&](const Member& member) { return member.host == message.host; });
  if (it == others_.end() || decided_)
    return;
  if (message.formed) {
    Decide(JoinCluster{});
    return;
  }
  it->reported_empty_at = now;
}

void ClusterFormer::Tick(TimePoint now) {
  if (decided_)
    return;
  if (is_first_ && AllReportedEmpty(now)) {
    Decide(FormCluster{});
    return;
  }
  if (next_send_.has_value() && now < *next_send_)
    return;
  next_send_ = now + kSendInterval;
  for (const Member& it : others_)
    commands_.emplace_back(SendForming{it.host, {self_, false}});
}

std::vector<FormingCommand> ClusterFormer::TakeCommands() {
  return std::exchange(commands_, {});
}

bool ClusterFormer::AllReportedEmpty(TimePoint now) const {
  return std::all_of(others_.begin(), others_.end(), [&](const Member& it) {
    return it.reported_empty_at.has_value() &&
           now - *it.reported_empty_at < kReportLifetime;
  });
}

void ClusterFormer::Decide(FormingCommand command) {
  decided_ = true;
  commands_.push_back(std::move(command));
}

}  // namespace briarlead
