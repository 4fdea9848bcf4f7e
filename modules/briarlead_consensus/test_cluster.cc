#include "briarlead_consensus/test_cluster.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace briarlead::consensus {

namespace {

// Largest difference between a node's local clock and virtual time at the
// start.
constexpr Duration kClockOffsetMax = std::chrono::hours(1);

/// Adds an applied entry to the hash `state`, in the manner of FNV-1a.
std::uint64_t HashState(std::uint64_t state, Term term, std::string_view text) {
  state = (state ^ term) * 1099511628211U;
  for (const char it : text)
    state = (state ^ static_cast<unsigned char>(it)) * 1099511628211U;
  return state;
}

}  // namespace

TestCluster::TestCluster(std::uint64_t seed,
                         std::size_t hosts,
                         std::size_t initial_voters)
    : random_(seed) {
  const ClusterId cluster("test");
  Membership members;
  std::vector<ReplicaId> replicas;
  for (std::size_t it = 0; it < hosts; ++it) {
    settings.seed_hosts.emplace_back("host" + std::to_string(it));
    replicas.push_back({settings.seed_hosts.back(), next_incarnation_++});
    if (it < initial_voters)
      members.voters.push_back(replicas.back());
  }
  nodes_.resize(hosts);
  for (std::size_t it = 0; it < hosts; ++it) {
    Node& node = nodes_[it];
    node.host = replicas[it].host;
    node.store = std::make_shared<MemoryStore>(
        Identity{cluster, replicas[it]},
        it < initial_voters ? members : Membership{});
    stores_[replicas[it]] = node.store;
    const double drift = settings.max_clock_drift;
    node.clock_rate = 1 - drift + 2 * drift * random_.Unit();
    node.clock_offset = random_.Between(Duration(0), kClockOffsetMax);
    After(Duration(0), [this, it] { StartReplica(it); });
  }
}

void TestCluster::Run(Duration duration) {
  RunUntil([] { return false; }, duration);
}

bool TestCluster::RunUntil(const std::function<bool()>& done, Duration limit) {
  const Duration end = now_ + limit;
  while (violation_.empty() && !done()) {
    if (events_.empty() || events_.top().at > end) {
      now_ = end;
      return false;
    }
    Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.action();
  }
  return violation_.empty();
}

void TestCluster::After(Duration delay, std::function<void()> action) {
  events_.push({now_ + delay, next_order_++, std::move(action)});
}

TimePoint TestCluster::LocalTime(const Node& node) const {
  return TimePoint(node.clock_offset +
                   FromSeconds(ToSeconds(now_) * node.clock_rate));
}

void TestCluster::StartReplica(std::size_t n) {
  Node& node = nodes_[n];
  ++node.epoch;
  node.frozen = false;
  node.deferred_input.clear();
  node.applied = 0;
  node.committed = 0;
  node.state = 0;
  node.reads.clear();
  node.scheduled_tick = TimePoint::min();
  node.manager = any_host ? MembershipManager::ForAnyHost(min_voters)
                          : MembershipManager(settings.seed_hosts);
  node.replica = std::make_unique<Replica>(
      settings, node.store->durable(),
      RandomSource(random_.Below(std::uint64_t{1} << 62)), LocalTime(node));
  RunCommands(n);
}

void TestCluster::Crash(std::size_t n, bool sync_reached_disk) {
  Node& node = nodes_[n];
  ++node.epoch;
  node.replica.reset();
  if (sync_reached_disk)
    node.store->Sync();
  node.store->DiscardUnsynced();
}

void TestCluster::Restart(std::size_t n) {
  StartReplica(n);
}

void TestCluster::Freeze(std::size_t n) {
  nodes_[n].frozen = true;
}

void TestCluster::Thaw(std::size_t n) {
  Node& node = nodes_[n];
  node.frozen = false;
  for (const auto& it : std::exchange(node.deferred_input, {}))
    it();
}

void TestCluster::LoseDisk(std::size_t n) {
  Node& node = nodes_[n];
  const Identity old = node.store->durable().identity;
  lost_replicas_.insert(old.replica);
  const Identity fresh{old.cluster, {node.host, next_incarnation_++ + 100}};
  node.store = std::make_shared<MemoryStore>(fresh, Membership{});
  stores_[fresh.replica] = node.store;
}

void TestCluster::Isolate(std::size_t n) {
  for (std::size_t it = 0; it < nodes_.size(); ++it) {
    CutLink(n, it);
    CutLink(it, n);
  }
}

void TestCluster::HealAll() {
  HealNetwork();
  faults.loss = 0;
  for (std::size_t it = 0; it < nodes_.size(); ++it) {
    if (!nodes_[it].replica)
      Restart(it);
    else if (nodes_[it].frozen)
      Thaw(it);
  }
}

bool TestCluster::Propose(std::size_t n) {
  const std::string payload = "p" + std::to_string(next_payload_++);
  bool taken = false;
  CallReplica(n, [&](Replica& replica, TimePoint now) {
    const auto index = replica.Propose(payload, now);
    taken = index.has_value();
    if (taken)
      pending_proposals_[{index.value(), replica.term()}] = payload;
  });
  return taken;
}

void TestCluster::RequestRead(std::size_t n) {
  CallReplica(n, [&](Replica& replica, TimePoint now) {
    const auto token = replica.ReadBarrier(now);
    if (token)
      nodes_[n].reads[token.value()] = history_.size();
  });
}

bool TestCluster::Compact(std::size_t n) {
  bool taken = false;
  CallReplica(n, [&](Replica& replica, TimePoint now) {
    const Node& node = nodes_[n];
    taken = replica.Compact(node.applied, std::to_string(node.state), now)
                .has_value();
  });
  return taken;
}

void TestCluster::ProposeMembershipChanges() {
  for (std::size_t it = 0; it < nodes_.size(); ++it) {
    CallReplica(it, [&](Replica& replica, TimePoint now) {
      const auto change = nodes_[it].manager.NextChange(replica, now);
      if (change)
        (void)replica.ProposeMembershipChange(*change, now);
    });
  }
}

void TestCluster::CallReplica(
    std::size_t n,
    const std::function<void(Replica&, TimePoint)>& action) {
  Node& node = nodes_[n];
  if (!node.replica || node.frozen)
    return;
  action(*node.replica, LocalTime(node));
  RunCommands(n);
}

void TestCluster::Deliver(std::size_t n, std::function<void()> input) {
  Node& node = nodes_[n];
  if (!node.replica)
    return;
  if (node.frozen) {
    node.deferred_input.push_back(std::move(input));
    return;
  }
  input();
}

void TestCluster::RunCommands(std::size_t n) {
  Node& node = nodes_[n];
  while (true) {
    std::vector<Command> commands = node.replica->TakeCommands();
    if (commands.empty())
      break;
    for (Command& it : commands)
      Execute(n, it);
  }
  CheckInvariants(node);
  const TimePoint due = node.replica->NextWake();
  if (due == node.scheduled_tick || due == TimePoint::max())
    return;
  node.scheduled_tick = due;
  const double wait = ToSeconds(due - LocalTime(node)) / node.clock_rate;
  const std::uint64_t epoch = node.epoch;
  After(std::max(Duration(1), FromSeconds(wait) + Duration(1)),
        [this, n, epoch, due] {
          Node& woken = nodes_[n];
          if (woken.epoch != epoch || woken.scheduled_tick != due)
            return;
          Deliver(n, [this, n] {
            nodes_[n].scheduled_tick = TimePoint::min();
            CallReplica(n, [](Replica& it, TimePoint now) { it.Tick(now); });
          });
        });
}

void TestCluster::Execute(std::size_t n, Command& command) {
  Node& node = nodes_[n];
  if (auto* send = std::get_if<SendMessage>(&command)) {
    Transmit(n, send->message);
  } else if (auto* persist = std::get_if<Persist>(&command)) {
    Write(n, std::move(*persist));
  } else if (auto* apply = std::get_if<Apply>(&command)) {
    OnApply(node, *apply);
  } else if (auto* install = std::get_if<InstallSnapshot>(&command)) {
    const Snapshot& snapshot = *install->snapshot;
    ++installs_;
    node.applied = snapshot.index;
    node.state = std::stoull(snapshot.data);
    if (snapshot.index > history_.size() ||
        history_[snapshot.index - 1].state != node.state) {
      ReportViolation("snapshot differs from what was applied");
    }
  } else if (auto* done = std::get_if<ReadBarrierDone>(&command)) {
    const LogIndex needed = node.reads[done->token];
    node.reads.erase(done->token);
    confirmed_reads_ += done->confirmed ? 1 : 0;
    if (done->confirmed && node.applied < needed)
      ReportViolation("a read missed an entry applied before it was requested");
  } else if (auto* join = std::get_if<JoinRequested>(&command)) {
    node.manager.OnJoinRequested(join->replica, LocalTime(node));
  }
}

void TestCluster::Transmit(std::size_t from, const Message& message) {
  const auto it = std::find_if(
      nodes_.begin(), nodes_.end(),
      [&](const Node& node) { return node.host == message.to.host; });
  if (it == nodes_.end() || (filter && !filter(message)))
    return;
  const auto to = static_cast<std::size_t>(it - nodes_.begin());
  if (count_bytes)
    bytes_sent_ += EncodeMessage(message).size();
  const int copies = random_.Chance(faults.duplication) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (random_.Chance(faults.loss) || cut_links_.contains({from, to}))
      continue;
    After(random_.Between(faults.delay_min, faults.delay_max),
          [this, from, to, message] {
            if (cut_links_.contains({from, to}))
              return;
            Deliver(to, [this, to, message] {
              CallReplica(to, [&](Replica& replica, TimePoint now) {
                replica.OnMessage(message, now);
              });
            });
          });
  }
}

void TestCluster::Write(std::size_t n, Persist persist) {
  Node& node = nodes_[n];
  CheckLogs(persist);
  const PersistToken token = persist.token;
  node.store->BeginWrite(std::move(persist));
  const std::uint64_t epoch = node.epoch;
  After(random_.Between(sync_min, sync_max) * node.sync_slowness,
        [this, n, token, epoch] {
          if (nodes_[n].epoch != epoch)
            return;
          nodes_[n].store->Sync();
          Deliver(n, [this, n, token] {
            CallReplica(n, [token](Replica& replica, TimePoint now) {
              replica.OnPersisted(token, now);
            });
          });
        });
}

void TestCluster::OnApply(Node& node, const Apply& apply) {
  if (apply.index != node.applied + 1)
    ReportViolation("an entry was skipped or applied twice");
  node.applied = apply.index;
  node.state = HashState(node.state, apply.term, apply.payload);
  if (apply.index > history_.size()) {
    history_.push_back({apply.term, apply.payload, node.state});
  } else if (history_[apply.index - 1].term != apply.term ||
             history_[apply.index - 1].payload != apply.payload) {
    ReportViolation(fmt::format("{} applied a different entry {}",
                                node.host.value(), apply.index));
  }
  const auto it = pending_proposals_.find({apply.index, apply.term});
  if (it == pending_proposals_.end())
    return;
  if (it->second != apply.payload)
    ReportViolation("an acknowledged entry has another payload");
  pending_proposals_.erase(it);
  ++acknowledged_;
}

void TestCluster::CheckLogs(const Persist& persist) {
  for (const LogEntry& it : persist.entries) {
    const auto [known, fresh] =
        log_entries_.try_emplace({it.index, it.term}, Term{0}, it.payload);
    if (!fresh && known->second.second != it.payload)
      ReportViolation("two logs differ at one index and term");
  }
  for (std::size_t it = 1; it < persist.entries.size(); ++it) {
    const LogEntry& entry = persist.entries[it];
    Term& prev_term = log_entries_[{entry.index, entry.term}].first;
    if (prev_term == 0)
      prev_term = persist.entries[it - 1].term;
    if (prev_term != persist.entries[it - 1].term)
      ReportViolation("two logs agree at an entry but differ before it");
  }
}

void TestCluster::CheckInvariants(Node& node) {
  const Replica& replica = *node.replica;
  if (replica.role() == Role::kLeader) {
    const auto [leader, fresh] =
        leader_by_term_.try_emplace(replica.term(), replica.identity().replica);
    if (leader->second != replica.identity().replica)
      ReportViolation("two leaders in one term");
    if (replica.commit_index() > node.committed) {
      const auto& voters = replica.members().voters;
      const auto n =
          std::count_if(voters.begin(), voters.end(), [&](const ReplicaId& it) {
            return stores_[it]->IsDurable(replica.commit_index(),
                                          replica.term());
          });
      if (static_cast<std::size_t>(n) <= voters.size() / 2)
        ReportViolation("an entry is committed that a majority hasn't synced");
    }
  }
  node.committed = replica.commit_index();
  std::size_t lease_holders = 0;
  for (const Node& it : nodes_) {
    if (it.replica && it.replica->HasLease(LocalTime(it)))
      ++lease_holders;
  }
  if (lease_holders > 1)
    ReportViolation("two replicas hold the lease");
}

std::size_t TestCluster::Leader() const {
  std::size_t leader = nodes_.size();
  Term term = 0;
  for (std::size_t it = 0; it < nodes_.size(); ++it) {
    const Replica* replica = nodes_[it].replica.get();
    if (replica == nullptr || replica->role() != Role::kLeader ||
        replica->term() < term) {
      continue;
    }
    leader = it;
    term = replica->term();
  }
  return leader;
}

bool TestCluster::Converged() const {
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const Node& it) {
    return it.replica && it.applied == history_.size() &&
           it.replica->members().IsVoter(it.replica->identity().replica) &&
           it.replica->members().voters.size() == nodes_.size();
  });
}

bool TestCluster::RepairsDone() const {
  for (const auto& [id, store] : stores_) {
    if (lost_replicas_.contains(id))
      continue;
    const LogBuffer log(store->durable().snapshot, store->durable().entries);
    const std::vector<ReplicaId>& voters = log.membership().voters;
    const bool lost = std::any_of(
        voters.begin(), voters.end(),
        [&](const ReplicaId& it) { return lost_replicas_.contains(it); });
    if (lost || voters.size() != nodes_.size())
      return false;
  }
  return true;
}

void TestCluster::ReportViolation(const std::string& what) {
  if (violation_.empty())
    violation_ = fmt::format("at {:.6f} s: {}", ToSeconds(now_), what);
}

}  // namespace briarlead::consensus
