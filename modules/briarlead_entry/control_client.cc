#include "briarlead_entry/control_client.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace briarlead {

ControlClient::ControlClient(std::vector<Endpoint> controls)
    : controls_(std::move(controls)) {}

std::uint64_t ControlClient::Ask(ControlRequestBody body, TimePoint now) {
  const std::uint64_t number = ++last_number_;
  if (controls_.empty()) {
    unanswered_.push_back(number);
    return number;
  }
  open_[number] = {controls_[leader_], now};
  commands_.push_back({controls_[leader_], {number, std::move(body)}});
  return number;
}

bool ControlClient::OnAnswer(const Endpoint& control,
                             const HostId& host,
                             const ControlAnswer& answer) {
  endpoints_[host] = control;
  const bool was_open = open_.erase(answer.number) > 0;
  const auto* refused = std::get_if<RequestRefused>(&answer.body);
  if (refused == nullptr || refused->reason != RefusalReason::kNotLeader)
    return was_open;
  const auto named = endpoints_.find(refused->leader);
  if (named == endpoints_.end()) {
    if (controls_[leader_] == control)
      TryAnother();
    return was_open;
  }
  const auto it = std::find(controls_.begin(), controls_.end(), named->second);
  if (it != controls_.end())
    leader_ = static_cast<std::size_t>(it - controls_.begin());
  return was_open;
}

void ControlClient::OnLinkFailure(const Endpoint& control) {
  FailOpenAt(control);
  if (!controls_.empty() && controls_[leader_] == control)
    TryAnother();
}

void ControlClient::Tick(const ListsHeartbeat& heartbeat, TimePoint now) {
  for (const auto& [number, open] : open_) {
    if (now - open.asked < kAnswerTimeout)
      continue;
    const Endpoint silent = open.control;
    FailOpenAt(silent);
    if (controls_[leader_] == silent)
      TryAnother();
    break;
  }
  if (next_heartbeat_.has_value() && now < *next_heartbeat_)
    return;
  next_heartbeat_ = now + kHeartbeatInterval;
  for (const Endpoint& it : controls_) {
    commands_.push_back({it, {0, heartbeat}});
    commands_.push_back({it, {0, ReadStatus{}}});
  }
}

std::vector<SendControlRequest> ControlClient::TakeCommands() {
  return std::exchange(commands_, {});
}

std::vector<std::uint64_t> ControlClient::TakeUnanswered() {
  return std::exchange(unanswered_, {});
}

void ControlClient::TryAnother() {
  leader_ = (leader_ + 1) % controls_.size();
}

void ControlClient::FailOpenAt(const Endpoint& control) {
  for (auto it = open_.begin(); it != open_.end();) {
    if (it->second.control != control) {
      ++it;
      continue;
    }
    unanswered_.push_back(it->first);
    it = open_.erase(it);
  }
}

}  // namespace briarlead
