#include "briarlead_membership/membership_test_network.h"

#include <algorithm>

namespace briarlead {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr std::uint64_t kHeaderBytes = 28 + 64;
constexpr std::uint16_t kFirstPort = 7000;

}  // namespace

void MembershipTestNetwork::Schedule(TimePoint at,
                                     std::function<void()> action) {
  events_.push({at, next_order_++, std::move(action)});
}

std::size_t MembershipTestNetwork::AddHost(const std::string& data_centre) {
  const std::size_t host = hosts_.size();
  Host& added = hosts_.emplace_back();
  added.entry.id = HostId("entry-" + std::to_string(host));
  added.entry.data_centre = DataCentreId(data_centre);
  const auto port = static_cast<std::uint16_t>(kFirstPort + host);
  added.entry.peers = {"10.0.0.1", port};
  added.entry.callers = {"10.0.0.2", port};
  Start(host);
  Schedule(now_ + random_.Between({}, kTickInterval),
           [=, this] { TickHost(host); });
  return host;
}

void MembershipTestNetwork::AddHosts(std::size_t count,
                                     const std::string& data_centre) {
  for (std::size_t i = 0; i < count; ++i)
    AddHost(data_centre);
}

void MembershipTestNetwork::Start(std::size_t host) {
  Host& it = hosts_[host];
  ++it.entry.incarnation;
  it.blackboard = std::make_unique<Blackboard>();
  MembershipSettings settings;
  settings.seeds = {hosts_[0].entry.peers};
  it.controller = std::make_unique<MembershipController>(
      settings, it.entry, random_.Below(1'000'000'000), *it.blackboard);
}

void MembershipTestNetwork::Restart(std::size_t host) {
  Start(host);
}

std::size_t MembershipTestNetwork::AddServer(const std::string& data_centre) {
  const std::size_t server = servers_.size();
  Server& added = servers_.emplace_back();
  added.record.id = BackendServerId("engine-" + std::to_string(server));
  added.record.data_centre = DataCentreId(data_centre);
  added.record.role = BackendServerRole::kDecode;
  added.record.model = ModelId("summary");
  added.record.address = {"10.1.0.1", 9000};
  added.record.incarnation = 1;
  added.record.slots = 16;
  const Duration interval = MembershipSettings().announce_interval;
  Schedule(now_ + random_.Between({}, interval),
           [=, this] { Announce(server); });
  return server;
}

void MembershipTestNetwork::RestartServer(std::size_t server) {
  Server& it = servers_[server];
  ++it.record.incarnation;
  it.record.state = BackendServerState::kServing;
  it.version = 0;
  it.is_running = true;
}

void MembershipTestNetwork::Announce(std::size_t server) {
  Schedule(now_ + MembershipSettings().announce_interval,
           [=, this] { Announce(server); });
  Server& it = servers_[server];
  if (!it.is_running)
    return;
  ++it.version;
  std::vector<std::size_t> candidates;
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    if (hosts_[host].controller && !hosts_[host].is_paused &&
        hosts_[host].entry.data_centre == it.record.data_centre) {
      candidates.push_back(host);
    }
  }
  // Announcements are sent over HTTP, so TCP makes up for packet loss and
  // set_loss() does not apply to them.
  if (candidates.empty())
    return;
  const std::size_t host = candidates[random_.Below(candidates.size())];
  hosts_[host].controller->OnAnnouncement(it.record, it.version, now_);
  TakeCommands(host);
}

void MembershipTestNetwork::TickHost(std::size_t host) {
  Schedule(now_ + kTickInterval, [=, this] { TickHost(host); });
  if (!hosts_[host].controller || hosts_[host].is_paused)
    return;
  hosts_[host].controller->Tick(now_);
  TakeCommands(host);
}

void MembershipTestNetwork::Deliver(std::size_t host,
                                    const std::string& bytes) {
  Host& it = hosts_[host];
  if (!it.controller)
    return;
  if (it.is_paused) {
    it.buffered_datagrams.push_back(bytes);
    return;
  }
  (void)it.controller->OnGossip(bytes, now_);
  TakeCommands(host);
}

void MembershipTestNetwork::Resume(std::size_t host) {
  hosts_[host].is_paused = false;
  for (const std::string& it :
       std::exchange(hosts_[host].buffered_datagrams, {}))
    Deliver(host, it);
}

void MembershipTestNetwork::TakeCommands(std::size_t host) {
  for (MembershipCommand& command : hosts_[host].controller->TakeCommands()) {
    if (const auto* send = std::get_if<SendGossip>(&command))
      Transmit(host, *send);
    else if (const auto* change = std::get_if<HostStateChanged>(&command))
      host_changes_.push_back({now_, host, *change});
    else if (const auto* it = std::get_if<BackendServerStateChanged>(&command))
      server_changes_.push_back({now_, host, *it});
    else
      ++own_incarnation_changes_;
  }
}

void MembershipTestNetwork::Transmit(std::size_t from, const SendGossip& send) {
  hosts_[from].bytes_sent += send.bytes.size() + kHeaderBytes;
  ++hosts_[from].messages_sent;
  largest_message_ = std::max(largest_message_, send.bytes.size());
  const std::size_t to = send.to.port - kFirstPort;
  const bool is_partitioned = hosts_[from].partition != hosts_[to].partition;
  if (is_partitioned || random_.Chance(loss_))
    return;
  const bool is_same_data_centre =
      hosts_[from].entry.data_centre == hosts_[to].entry.data_centre;
  const Duration least =
      std::chrono::microseconds(is_same_data_centre ? 100 : 1100);
  const Duration delay = random_.Between(least, 3 * least);
  Schedule(now_ + delay,
           [this, to, bytes = send.bytes] { Deliver(to, bytes); });
}

void MembershipTestNetwork::Run(Duration duration) {
  const TimePoint end = now_ + duration;
  while (!events_.empty() && events_.top().at <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.action();
  }
  now_ = end;
}

void MembershipTestNetwork::HealPartition() {
  for (Host& it : hosts_)
    it.partition = 0;
}

std::optional<HostState> MembershipTestNetwork::StateOf(
    std::size_t observer,
    std::size_t subject) const {
  const HostRecord* record =
      hosts_[observer].blackboard->hosts.Find(id(subject));
  if (record == nullptr)
    return std::nullopt;
  return record->state;
}

std::size_t MembershipTestNetwork::CountHostsSeeing(std::size_t subject,
                                                    HostState state) const {
  std::size_t count = 0;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (i != subject && hosts_[i].controller && StateOf(i, subject) == state)
      ++count;
  }
  return count;
}

std::size_t MembershipTestNetwork::CountHostsOffering(
    std::size_t server) const {
  std::size_t count = 0;
  for (const Host& it : hosts_) {
    const BackendServerRecord* record =
        it.blackboard->servers.Find(server_id(server));
    if (it.controller && !it.is_paused && record != nullptr &&
        record->state == BackendServerState::kServing) {
      ++count;
    }
  }
  return count;
}

void MembershipTestNetwork::ResetObservations() {
  host_changes_.clear();
  server_changes_.clear();
  own_incarnation_changes_ = 0;
  largest_message_ = 0;
  for (Host& it : hosts_) {
    it.bytes_sent = 0;
    it.messages_sent = 0;
  }
}

}  // namespace briarlead
