#include "briarlead_registry/agreed_state.h"

#include <algorithm>
#include <utility>

#include "briarlead_core/system_random.h"
#include "briarlead_lists/sha256.h"
#include "briarlead_net/loop_clock.h"

namespace briarlead {

namespace {

/// Entries after which the log is replaced by a snapshot.
constexpr consensus::LogIndex kEntriesBetweenSnapshots = 100;
/// Entries kept behind a snapshot: lists are large, and followers near.
constexpr std::size_t kEntriesBehindSnapshot = 20;
/// Longest encoded log entry: a whole list and its frame.
constexpr std::size_t kMaxPayloadBytes = kMaxCommandBytes + 65536;

constexpr Duration kJoinInterval = std::chrono::milliseconds(300);
/// Time without a change of the routes after which a snapshot is made.
constexpr Duration kSettledAfter = std::chrono::milliseconds(400);
/// How often a disk that refused a write is tried again.
constexpr Duration kReopenInterval = std::chrono::milliseconds(500);

}  // namespace

AgreedState::AgreedState(const RoutingSettings& settings,
                         PeerTransport& transport,
                         Logger& logger,
                         Handlers handlers)
    : settings_(settings),
      transport_(transport),
      logger_(logger),
      handlers_(std::move(handlers)) {
  for (const Endpoint& it : settings_.seeds)
    seed_hosts_.emplace_back(it.address);
}

Result<void> AgreedState::Start(TimePoint now) {
  return OpenReplica(now);
}

Result<void> AgreedState::OpenReplica(TimePoint now) {
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
  replica_settings.trailing_entries = kEntriesBehindSnapshot;
  replica_settings.join_interval = kJoinInterval;
  driver_->Start(replica_settings, std::move(recovered), SystemRandomNumber(),
                 now);
  return outcome::success();
}

ReplicaDriver::Handlers AgreedState::MakeDriverHandlers() {
  ReplicaDriver::Handlers handlers;
  handlers.on_apply = [this](const consensus::Apply& it) { OnApply(it); };
  handlers.on_snapshot = [this](const consensus::Snapshot& it) {
    OnSnapshot(it);
  };
  handlers.on_role = [this](const consensus::RoleChanged& it) { OnRole(it); };
  handlers.on_join = [this](const consensus::ReplicaId& it) {
    keeper_.OnJoinRequested(it, LoopNow());
  };
  handlers.on_read = [this](const consensus::ReadBarrierDone& it) {
    OnRead(it);
  };
  handlers.on_disk_failure = [this](const Error& it) {
    if (!std::exchange(disk_failed_, true))
      logger_.Failure(LoopNow(), "disk_failed", {{"error", it.message}});
  };
  return handlers;
}

void AgreedState::RecoverDisk(TimePoint now) {
  if (driver_) {
    // What the disk holds is unknown until it is opened again.
    leads_ = false;
    AbandonPending();
    driver_.reset();
    reopen_at_ = now + kReopenInterval;
    return;
  }
  if (now < reopen_at_)
    return;
  reopen_at_ = now + kReopenInterval;
  disk_failed_ = false;
  const Result<void> opened = OpenReplica(now);
  if (!opened) {
    driver_.reset();
    disk_failed_ = true;
  }
  logger_.Info(now, "disk_reopened", {{"well", opened.has_value()}});
}

Result<void> AgreedState::CreateStore() {
  const auto first =
      std::min_element(settings_.seeds.begin(), settings_.seeds.end());
  // Only the whole system's first start may make a group, and one host only.
  const bool forms = settings_.first_start && first != settings_.seeds.end() &&
                     first->address == settings_.address;
  const std::uint64_t incarnation = SystemRandomNumber() >> 1;
  consensus::Membership members;
  if (forms)
    members.voters = {{HostId(settings_.address), incarnation}};
  logger_.Info(LoopNow(), forms ? "group_formed" : "group_joining",
               {{"replica", incarnation}});
  return store_->Create(incarnation, members);
}

Result<void> AgreedState::Replace(ReplaceRoutes command,
                                  Done done,
                                  TimePoint now) {
  if (!leads_ || !driver_)
    return Fail(ErrorCode::kUnavailable, "this host does not lead");
  const consensus::Replica& replica = driver_->replica();
  // A change that too few disks hold would be lost with one of them.
  if (replica.members().voters.size() < settings_.least_voters)
    return Fail(ErrorCode::kUnavailable, "the group is still forming");
  const auto pending = changes_.find(last_proposed_index_);
  if (pending != changes_.end() && command.version == last_proposed_version_ &&
      command.text == last_proposed_text_) {
    pending->second.waiting.push_back(std::move(done));
    return outcome::success();
  }
  StateCommand entry;
  entry.time = {replica.term(), 0};
  entry.body = command;
  const consensus::Term term = replica.term();
  BOOST_OUTCOME_TRY(const std::uint64_t index,
                    driver_->Propose(EncodeStateCommand(entry), now));
  changes_[index] = {term, {}};
  changes_[index].waiting.push_back(std::move(done));
  last_proposed_index_ = index;
  last_proposed_version_ = command.version;
  last_proposed_text_ = std::move(command.text);
  driver_->Pump();
  return outcome::success();
}

Result<void> AgreedState::Read(Done done, TimePoint now) {
  if (!driver_)
    return Fail(ErrorCode::kUnavailable, "the disk has failed");
  BOOST_OUTCOME_TRY(const consensus::ReadToken token,
                    driver_->ReadBarrier(now));
  reads_[token] = std::move(done);
  driver_->Pump();
  return outcome::success();
}

void AgreedState::OnFrame(std::string_view payload, TimePoint now) {
  if (driver_)
    driver_->OnFrame(payload, now);
}

void AgreedState::Tick(TimePoint now) {
  if (disk_failed_ || !driver_) {
    RecoverDisk(now);
    return;
  }
  driver_->Tick(now);
  ChangeMembers(now);
  Compact(now);
}

void AgreedState::HandOver(TimePoint now) {
  if (driver_)
    driver_->TransferLeadership(now);
}

HostId AgreedState::leader() const {
  return leader_.host;
}

bool AgreedState::InTouch(TimePoint now) const {
  if (!driver_)
    return false;
  if (leads_)
    return driver_->replica().HasLease(now);
  return driver_->replica().HeardLeader(now);
}

std::vector<HostId> AgreedState::MemberHosts() const {
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

void AgreedState::SetSeedHosts(std::vector<HostId> hosts) {
  seed_hosts_ = std::move(hosts);
  if (driver_)
    driver_->SetSeedHosts(seed_hosts_);
}

void AgreedState::OnApply(const consensus::Apply& entry) {
  bool routes_changed = false;
  if (entry.kind == consensus::EntryKind::kCommand) {
    const StateOutcome outcome = machine_.Apply(entry.index, entry.payload);
    const auto* replaced = std::get_if<ReplaceRoutesResult>(&outcome);
    routes_changed = replaced != nullptr && replaced->changed;
  }
  if (routes_changed) {
    routes_unsaved_ = true;
    routes_changed_at_ = LoopNow();
    logger_.Info(LoopNow(), "routes_committed",
                 {{"version", machine_.routes().version()},
                  {"index", entry.index},
                  {"term", entry.term},
                  {"bytes", machine_.routes().text().size()}});
    handlers_.on_routes();
  }
  const auto pending = changes_.find(entry.index);
  if (pending == changes_.end())
    return;
  const PendingChange change = std::move(pending->second);
  changes_.erase(pending);
  for (const Done& it : change.waiting)
    it(change.term == entry.term);
}

void AgreedState::OnSnapshot(const consensus::Snapshot& snapshot) {
  const std::uint64_t before = machine_.routes().version();
  if (machine_.RestoreSnapshot(snapshot.data).has_error()) {
    logger_.Failure(LoopNow(), "snapshot_unreadable", {});
    handlers_.on_failure();
    return;
  }
  compacted_index_ = snapshot.index;
  AbandonPending();
  if (machine_.routes().version() != before)
    handlers_.on_routes();
}

void AgreedState::OnRole(const consensus::RoleChanged& change) {
  leads_ = change.role == consensus::Role::kLeader;
  leader_ = change.leader;
  logger_.Info(LoopNow(), "role_changed",
               {{"term", change.term},
                {"leads", leads_},
                {"leader", change.leader.host.value()}});
  if (!leads_)
    AbandonPending();
}

void AgreedState::OnRead(const consensus::ReadBarrierDone& read) {
  const auto it = reads_.find(read.token);
  if (it == reads_.end())
    return;
  const Done done = std::move(it->second);
  reads_.erase(it);
  done(read.confirmed);
}

void AgreedState::AbandonPending() {
  const auto changes = std::exchange(changes_, {});
  const auto reads = std::exchange(reads_, {});
  for (const auto& [index, change] : changes) {
    for (const Done& it : change.waiting)
      it(false);
  }
  for (const auto& [token, done] : reads)
    done(false);
}

void AgreedState::ChangeMembers(TimePoint now) {
  if (!leads_)
    return;
  const auto change = keeper_.NextChange(driver_->replica(), now);
  if (!change.has_value())
    return;
  const auto index = driver_->ProposeMembershipChange(*change, now);
  if (index) {
    logger_.Info(now, "member_change",
                 {{"kind", static_cast<int>(change->kind)},
                  {"replica", ToString(change->replica)}});
  }
}

void AgreedState::Compact(TimePoint now) {
  const consensus::LogIndex applied = driver_->replica().applied_index();
  // A snapshot tells a starting replica what is committed before any leader
  // does; so one is made soon after each change of the routes, in a quiet time.
  const bool settled = routes_unsaved_ && changes_.empty() &&
                       now - routes_changed_at_ >= kSettledAfter;
  if (!settled && applied < compacted_index_ + kEntriesBetweenSnapshots)
    return;
  routes_unsaved_ = false;
  compacted_index_ = applied;
  driver_->Compact(applied, machine_.EncodeSnapshot(), now);
}

}  // namespace briarlead
