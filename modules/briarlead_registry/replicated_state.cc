#include "briarlead_registry/replicated_state.h"

#include <algorithm>
#include <utility>

#include "briarlead_accounts/key_lease_grant.h"
#include "briarlead_accounts/sha256.h"
#include "briarlead_core/system_random.h"
#include "briarlead_net/loop_clock.h"

namespace briarlead {

namespace {

/// Number of entries after which the log is replaced by a snapshot.
constexpr consensus::LogIndex kEntriesBetweenSnapshots = 100;
/// Number of log entries kept after a snapshot covers them. Few, since lists
/// are large and followers are close behind.
constexpr std::size_t kTrailingEntries = 20;
/// Maximum size of an encoded log entry, in bytes: a command and its framing.
constexpr std::size_t kMaxPayloadBytes = kMaxCommandBytes + 65536;

/// Time between requests to join the group.
constexpr Duration kJoinInterval = std::chrono::milliseconds(300);
/// Time from the last change of the routes to the snapshot that includes it.
constexpr Duration kSnapshotDelay = std::chrono::milliseconds(400);
/// Time between attempts to open the store again after a failed write.
constexpr Duration kReopenInterval = std::chrono::milliseconds(500);
/// The same for a store whose files are damaged: only an operator mends it, and
/// reading it takes time.
constexpr Duration kReopenDamagedInterval = std::chrono::seconds(5);

}  // namespace

ReplicatedState::ReplicatedState(const RoutingSettings& settings,
                                 PeerTransport& transport,
                                 Logger& logger,
                                 Handlers handlers)
    : settings_(settings),
      transport_(transport),
      logger_(logger),
      handlers_(std::move(handlers)),
      membership_(
          consensus::MembershipManager::ForAnyHost(settings_.min_voters)) {
  for (const Endpoint& it : settings_.seeds)
    seed_hosts_.emplace_back(it.address);
}

Result<void> ReplicatedState::Start(TimePoint now) {
  Result<void> opened = OpenReplica(now);
  if (opened || opened.error().code == ErrorCode::kConflict)
    return opened;
  OnOpenFailed(opened.error(), now);
  return outcome::success();
}

void ReplicatedState::OnOpenFailed(const Error& error, TimePoint now) {
  driver_.reset();
  disk_failed_ = true;
  const bool is_damaged = error.code == ErrorCode::kCorrupt;
  reopen_at_ = now + (is_damaged ? kReopenDamagedInterval : kReopenInterval);
  if (std::exchange(open_error_, error.message) != error.message)
    logger_.Failure(now, "store_not_opened", {{"error", error.message}});
}

Result<void> ReplicatedState::OpenReplica(TimePoint now) {
  driver_.reset();
  consensus::FileStoreSettings store_settings;
  store_settings.folder = settings_.data_folder + "/replica";
  store_settings.cluster = consensus::ClusterId(
      Sha256Hex("briarlead routes " + settings_.frame_key).substr(0, 16));
  store_settings.host = HostId(settings_.address);
  store_ = std::make_unique<consensus::FileStore>(std::move(store_settings));
  if (!store_->Exists()) {
    BOOST_OUTCOME_TRY(CreateStore());
  }
  BOOST_OUTCOME_TRY(consensus::RecoveredState recovered, store_->Open());
  if (recovered.snapshot)
    compacted_index_ = recovered.snapshot->index;
  const std::uint16_t port = settings_.control_peer_port;
  driver_ = std::make_unique<ReplicaDriver>(
      *store_, transport_,
      [port](const HostId& it) {
        return std::optional<Endpoint>({it.value(), port});
      },
      MakeDriverHandlers());
  consensus::ReplicaSettings replica_settings;
  replica_settings.seed_hosts = seed_hosts_;
  replica_settings.max_payload_bytes = kMaxPayloadBytes;
  replica_settings.trailing_entries = kTrailingEntries;
  replica_settings.join_interval = kJoinInterval;
  driver_->Start(replica_settings, std::move(recovered), SystemRandomNumber(),
                 now);
  return outcome::success();
}

ReplicaDriver::Handlers ReplicatedState::MakeDriverHandlers() {
  ReplicaDriver::Handlers handlers;
  handlers.on_apply = [this](const consensus::Apply& it) { OnApply(it); };
  handlers.on_snapshot = [this](const consensus::Snapshot& it) {
    OnSnapshot(it);
  };
  handlers.on_role = [this](const consensus::RoleChanged& it) {
    OnRoleChanged(it);
  };
  handlers.on_join = [this](const consensus::ReplicaId& it) {
    membership_.OnJoinRequested(it, LoopNow());
  };
  handlers.on_read = [this](const consensus::ReadBarrierDone& it) {
    OnReadBarrierDone(it);
  };
  handlers.on_disk_failure = [this](const Error& it) {
    if (!std::exchange(disk_failed_, true))
      logger_.Failure(LoopNow(), "disk_failed", {{"error", it.message}});
  };
  return handlers;
}

void ReplicatedState::RecoverDisk(TimePoint now) {
  if (driver_) {
    // The contents of the disk are unknown until the store is opened again.
    leads_ = false;
    leader_ = {};
    FailPending();
    driver_.reset();
    reopen_at_ = now + kReopenInterval;
    return;
  }
  if (now < reopen_at_)
    return;
  disk_failed_ = false;
  const Result<void> opened = OpenReplica(now);
  if (!opened) {
    OnOpenFailed(opened.error(), now);
    return;
  }
  open_error_.clear();
  logger_.Info(now, "disk_reopened", {{"well", !disk_failed_}});
}

Result<void> ReplicatedState::CreateStore() {
  const auto first_seed =
      std::min_element(settings_.seeds.begin(), settings_.seeds.end());
  // A group may be formed only at the first start of the whole system, and only
  // by one host.
  const bool forms_group = settings_.first_start &&
                           first_seed != settings_.seeds.end() &&
                           first_seed->address == settings_.address;
  const std::uint64_t incarnation = SystemRandomNumber() >> 1;
  consensus::Membership members;
  if (forms_group)
    members.voters = {{HostId(settings_.address), incarnation}};
  logger_.Info(LoopNow(), forms_group ? "group_formed" : "group_joining",
               {{"replica", incarnation}});
  return store_->Create(incarnation, members);
}

Result<void> ReplicatedState::Replace(ReplaceRoutes command,
                                      Completion done,
                                      TimePoint now) {
  if (!leads_ || !driver_)
    return Fail(ErrorCode::kUnavailable, "this host does not lead");
  const consensus::Replica& replica = driver_->replica();
  // With too few voters, a committed change could be lost with a single disk.
  if (replica.members().voters.size() < settings_.min_voters)
    return Fail(ErrorCode::kUnavailable, "the group is still forming");
  const auto pending = pending_changes_.find(last_proposed_index_);
  if (pending != pending_changes_.end() &&
      command.version == last_proposed_version_ &&
      command.text == last_proposed_text_) {
    pending->second.completions.push_back(std::move(done));
    return outcome::success();
  }
  StateCommand entry;
  entry.time = {replica.term(), 0};
  entry.body = command;
  const consensus::Term term = replica.term();
  BOOST_OUTCOME_TRY(const std::uint64_t index,
                    driver_->Propose(EncodeStateCommand(entry), now));
  pending_changes_[index] = {term, {}};
  pending_changes_[index].completions.push_back(std::move(done));
  last_proposed_index_ = index;
  last_proposed_version_ = command.version;
  last_proposed_text_ = std::move(command.text);
  driver_->Pump();
  return outcome::success();
}

Result<void> ReplicatedState::Read(Completion done, TimePoint now) {
  if (!driver_)
    return Fail(ErrorCode::kUnavailable, "the disk has failed");
  BOOST_OUTCOME_TRY(const consensus::ReadToken token,
                    driver_->ReadBarrier(now));
  pending_reads_[token] = std::move(done);
  driver_->Pump();
  return outcome::success();
}

void ReplicatedState::OnFrame(std::string_view payload, TimePoint now) {
  if (driver_)
    driver_->OnFrame(payload, now);
}

void ReplicatedState::Tick(TimePoint now) {
  if (disk_failed_ || !driver_) {
    RecoverDisk(now);
    return;
  }
  driver_->Tick(now);
  ChangeMembers(now);
  Compact(now);
}

void ReplicatedState::TransferLeadership(TimePoint now) {
  if (driver_)
    driver_->TransferLeadership(now);
}

HostId ReplicatedState::leader() const {
  return leader_.host;
}

bool ReplicatedState::HasMajorityContact(TimePoint now) const {
  if (!driver_)
    return false;
  if (leads_)
    return driver_->replica().HasLease(now);
  return driver_->replica().HeardLeader(now);
}

bool ReplicatedState::HasCurrentRoutes(TimePoint now) const {
  if (!driver_)
    return false;
  const consensus::Replica& replica = driver_->replica();
  return MayGrantKeyLease(
      {leads_, replica.HasLease(now), replica.HasAppliedOwnTerm()});
}

std::vector<HostId> ReplicatedState::MemberHosts() const {
  std::vector<HostId> hosts;
  if (!driver_)
    return hosts;
  const consensus::Membership& members = driver_->replica().members();
  for (const consensus::ReplicaId& it : members.voters)
    hosts.push_back(it.host);
  for (const consensus::ReplicaId& it : members.learners)
    hosts.push_back(it.host);
  return hosts;
}

std::set<HostId> ReplicatedState::VoterHosts() const {
  std::set<HostId> hosts;
  if (!driver_)
    return hosts;
  for (const consensus::ReplicaId& it : driver_->replica().members().voters)
    hosts.insert(it.host);
  return hosts;
}

void ReplicatedState::SetSeedHosts(std::vector<HostId> hosts) {
  seed_hosts_ = std::move(hosts);
  if (driver_)
    driver_->SetSeedHosts(seed_hosts_);
}

void ReplicatedState::OnApply(const consensus::Apply& entry) {
  bool routes_changed = false;
  if (entry.kind == consensus::EntryKind::kCommand) {
    const StateOutcome outcome = machine_.Apply(entry.index, entry.payload);
    const auto* replaced = std::get_if<ReplaceRoutesResult>(&outcome);
    routes_changed = replaced != nullptr && replaced->changed;
  }
  if (routes_changed) {
    routes_not_in_snapshot_ = true;
    routes_changed_at_ = LoopNow();
    logger_.Info(LoopNow(), "routes_committed",
                 {{"version", machine_.routes().version()},
                  {"index", entry.index},
                  {"term", entry.term},
                  {"bytes", machine_.routes().text().size()}});
    handlers_.on_routes_changed();
  }
  const auto pending = pending_changes_.find(entry.index);
  if (pending == pending_changes_.end())
    return;
  const PendingChange change = std::move(pending->second);
  pending_changes_.erase(pending);
  for (const Completion& it : change.completions)
    it(change.term == entry.term);
}

void ReplicatedState::OnSnapshot(const consensus::Snapshot& snapshot) {
  const std::uint64_t before = machine_.routes().version();
  if (machine_.RestoreSnapshot(snapshot.data).has_error()) {
    logger_.Failure(LoopNow(), "snapshot_unreadable", {});
    handlers_.on_failure();
    return;
  }
  compacted_index_ = snapshot.index;
  FailPending();
  if (machine_.routes().version() != before)
    handlers_.on_routes_changed();
}

void ReplicatedState::OnRoleChanged(const consensus::RoleChanged& change) {
  leads_ = change.role == consensus::Role::kLeader;
  leader_ = change.leader;
  if (leads_)
    led_term_ = change.term;
  logger_.Info(LoopNow(), "role_changed",
               {{"term", change.term},
                {"leads", leads_},
                {"leader", change.leader.host.value()},
                {"voters", Voters()}});
  if (!leads_)
    FailPending();
}

std::string ReplicatedState::Voters() const {
  std::string voters;
  if (!driver_)
    return voters;
  for (const consensus::ReplicaId& it : driver_->replica().members().voters)
    voters += (voters.empty() ? "" : ",") + it.host.value();
  return voters;
}

void ReplicatedState::OnReadBarrierDone(
    const consensus::ReadBarrierDone& read) {
  const auto it = pending_reads_.find(read.token);
  if (it == pending_reads_.end())
    return;
  const Completion done = std::move(it->second);
  pending_reads_.erase(it);
  done(read.confirmed);
}

void ReplicatedState::FailPending() {
  const auto changes = std::exchange(pending_changes_, {});
  const auto reads = std::exchange(pending_reads_, {});
  for (const auto& [index, change] : changes) {
    for (const Completion& it : change.completions)
      it(false);
  }
  for (const auto& [token, done] : reads)
    done(false);
}

void ReplicatedState::ChangeMembers(TimePoint now) {
  if (!leads_)
    return;
  const auto change = membership_.NextChange(driver_->replica(), now);
  if (!change.has_value())
    return;
  const auto index = driver_->ProposeMembershipChange(*change, now);
  if (index) {
    logger_.Info(now, "member_change",
                 {{"kind", static_cast<int>(change->kind)},
                  {"replica", ToString(change->replica)}});
  }
}

void ReplicatedState::Compact(TimePoint now) {
  const consensus::LogIndex applied = driver_->replica().applied_index();
  // A replica that starts knows from its snapshot what is committed, before it
  // has contact with a leader. So a snapshot is made soon after a change of the
  // routes, once no change is pending.
  const bool is_snapshot_due = routes_not_in_snapshot_ &&
                               pending_changes_.empty() &&
                               now - routes_changed_at_ >= kSnapshotDelay;
  if (!is_snapshot_due && applied < compacted_index_ + kEntriesBetweenSnapshots)
    return;
  routes_not_in_snapshot_ = false;
  compacted_index_ = applied;
  driver_->Compact(applied, machine_.EncodeSnapshot(), now);
}

}  // namespace briarlead
