#include "briarlead_entry/control_client.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace briarlead {

ControlClient::ControlClient(std::vector<Endpoint> control_hosts)
    : control_hosts_(std::move(control_hosts)) {}

std::uint64_t ControlClient::SendRequest(ControlRequestBody body,
                                         TimePoint now) {
  const std::uint64_t number = ++last_number_;
  if (control_hosts_.empty()) {
    unanswered_.push_back(number);
    return number;
  }
  pending_[number] = {control_hosts_[leader_index_], now};
  commands_.push_back(
      {control_hosts_[leader_index_], {number, std::move(body)}});
  return number;
}

bool ControlClient::OnAnswer(const Endpoint& control_host,
                             const HostId& host,
                             const ControlAnswer& answer) {
  endpoints_[host] = control_host;
  const bool was_pending = pending_.erase(answer.number) > 0;
  const auto* refused = std::get_if<RequestRefused>(&answer.body);
  if (refused == nullptr || refused->reason != RefusalReason::kNotLeader)
    return was_pending;
  const auto leader = endpoints_.find(refused->leader);
  if (leader == endpoints_.end()) {
    if (control_hosts_[leader_index_] == control_host)
      TryNextHost();
    return was_pending;
  }
  const auto it =
      std::find(control_hosts_.begin(), control_hosts_.end(), leader->second);
  if (it != control_hosts_.end())
    leader_index_ = static_cast<std::size_t>(it - control_hosts_.begin());
  return was_pending;
}

void ControlClient::OnLinkFailure(const Endpoint& control_host) {
  FailPendingAt(control_host);
  if (!control_hosts_.empty() && control_hosts_[leader_index_] == control_host)
    TryNextHost();
}

void ControlClient::Tick(const ListsHeartbeat& heartbeat, TimePoint now) {
  for (const auto& [number, pending] : pending_) {
    if (now - pending.sent < kAnswerTimeout)
      continue;
    const Endpoint unresponsive = pending.control_host;
    FailPendingAt(unresponsive);
    if (control_hosts_[leader_index_] == unresponsive)
      TryNextHost();
    break;
  }
  if (next_heartbeat_.has_value() && now < *next_heartbeat_)
    return;
  next_heartbeat_ = now + kHeartbeatInterval;
  for (const Endpoint& it : control_hosts_) {
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

void ControlClient::TryNextHost() {
  leader_index_ = (leader_index_ + 1) % control_hosts_.size();
}

void ControlClient::FailPendingAt(const Endpoint& control_host) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (it->second.control_host != control_host) {
      ++it;
      continue;
    }
    unanswered_.push_back(it->first);
    it = pending_.erase(it);
  }
}

}  // namespace briarlead
