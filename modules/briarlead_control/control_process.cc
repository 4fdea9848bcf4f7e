#include "briarlead_control/control_process.h"

#include <utility>
#include <vector>

#include "briarlead_accounts/briarlead_accounts.h"
#include "briarlead_control/operator_api.h"
#include "briarlead_core/system_random.h"
#include "briarlead_lists/briarlead_lists.h"
#include "briarlead_net/loop_clock.h"
#include "briarlead_wire/bearer_field.h"

namespace briarlead {

namespace {

constexpr guint kTickIntervalMs = 10;
/// Applied entries after which the log is replaced with a snapshot.
constexpr consensus::LogIndex kEntriesBetweenSnapshots = 20'000;
/// Longest wait for a successor during a planned stop.
constexpr Duration kLeadershipTransferTimeout = std::chrono::seconds(2);

/// Returns a number that grows with each start of the process.
std::uint64_t NewIncarnation() {
  return static_cast<std::uint64_t>(g_get_real_time());
}

static_assert(kMaxListBytes == kMaxStoredListBytes,
              "lists that pass the check must fit into the store");

Findings CheckLists(std::string_view customers, std::string_view plans) {
  Findings findings;
  static_cast<void>(ParseLists(customers, plans, findings));
  return findings;
}

std::vector<HostId> HostsOf(const std::vector<MemberSettings>& members) {
  std::vector<HostId> hosts;
  hosts.reserve(members.size());
  for (const MemberSettings& it : members)
    hosts.push_back(it.host);
  return hosts;
}

/// Returns the id of the deployment's cluster. The id depends on the frame key,
/// so that hosts with different keys never share a cluster.
consensus::ClusterId ClusterIdOf(const ControlSettings& settings) {
  return consensus::ClusterId(
      Sha256Hex("briarlead cluster " + settings.frame_key).substr(0, 16));
}

}  // namespace

Result<std::uint64_t> ControlProcess::LogProposer::Propose(
    const std::string& payload,
    TimePoint now) {
  const std::size_t voters =
      process_.driver_->replica().members().voters.size();
  // While the first member is the only voter, a change would be lost with its
  // disk.
  if (voters * 2 <= process_.settings_.members.size())
    return Fail(ErrorCode::kUnavailable, "the cluster is still forming");
  return process_.driver_->Propose(payload, now);
}

ControlProcess::ControlProcess(ControlSettings settings,
                               Logger& logger,
                               EndHandler on_end)
    : settings_(std::move(settings)),
      logger_(logger),
      on_end_(std::move(on_end)),
      incarnation_(NewIncarnation()),
      membership_manager_(HostsOf(settings_.members)),
      proposer_(*this) {}

ControlProcess::~ControlProcess() = default;

Result<void> ControlProcess::Start() {
  BOOST_OUTCOME_TRY(OpenPorts());
  CreateComponents();
  BOOST_OUTCOME_TRY(OpenStore());
  Tick();
  logger_.Info(LoopNow(), "control_started",
               {{"host", settings_.host.value()},
                {"peers", ToString(settings_.peers)},
                {"operators", ToString(settings_.operators)}});
  return outcome::success();
}

void ControlProcess::Stop() {
  if (stopping_)
    return;
  const TimePoint now = LoopNow();
  logger_.Info(now, "control_stopping", {{"leads", is_leader_}});
  stopping_ = true;
  stop_deadline_ = now + kLeadershipTransferTimeout;
  if (is_leader_)
    driver_->TransferLeadership(now);
}

Result<void> ControlProcess::OpenPorts() {
  BOOST_OUTCOME_TRY(const FrameKey key,
                    FrameKey::FromSecret(settings_.frame_key));
  PeerTransport::Handlers handlers;
  handlers.on_frame = [this](const Frame& it) { OnFrame(it); };
  handlers.on_link_failure = [this](const Endpoint& it, LinkFailure) {
    const std::optional<PeerId> peer = peers_.FindByEndpoint(it);
    if (peer.has_value())
      service_->OnPeerDisconnected(*peer);
  };
  BOOST_OUTCOME_TRY(
      transport_,
      PeerTransport::Open({settings_.host, incarnation_, settings_.peers}, key,
                          std::move(handlers)));
  HttpServerOptions options;
  options.max_body_bytes = 2 * kMaxControlMessageBytes;
  BOOST_OUTCOME_TRY(
      operator_server_,
      HttpServer::Listen(settings_.operators, options,
                         [this](const std::shared_ptr<HttpExchange>& it) {
                           OnOperatorRequest(it);
                         }));
  return outcome::success();
}

void ControlProcess::CreateComponents() {
  ControlServiceOptions options;
  options.self = settings_.host;
  options.data_centres = settings_.data_centres;
  options.check = CheckLists;
  service_ = std::make_unique<ControlService<LogProposer>>(proposer_, machine_,
                                                           std::move(options));
  ReplicaDriver::Handlers handlers;
  handlers.on_apply = [this](const consensus::Apply& it) { OnApply(it); };
  handlers.on_snapshot = [this](const consensus::Snapshot& it) {
    OnSnapshot(it);
  };
  handlers.on_role = [this](const consensus::RoleChanged& it) { OnRole(it); };
  handlers.on_join = [this](const consensus::ReplicaId& it) {
    membership_manager_.OnJoinRequested(it, LoopNow());
  };
  handlers.on_disk_failure = [this](const Error& it) {
    logger_.Failure(LoopNow(), "disk_failed", {{"error", it.message}});
    on_end_(1);
  };
  consensus::FileStoreSettings store_settings;
  store_settings.folder = settings_.data_folder + "/replica";
  store_settings.cluster = ClusterIdOf(settings_);
  store_settings.host = settings_.host;
  store_ = std::make_unique<consensus::FileStore>(std::move(store_settings));
  driver_ = std::make_unique<ReplicaDriver>(
      *store_, *transport_,
      [this](const HostId& it) { return EndpointOfMember(it); },
      std::move(handlers));
}

Result<void> ControlProcess::OpenStore() {
  if (!store_->Exists()) {
    former_.emplace(settings_.host, HostsOf(settings_.members));
    return outcome::success();
  }
  BOOST_OUTCOME_TRY(consensus::RecoveredState recovered, store_->Open());
  StartReplica(std::move(recovered));
  return outcome::success();
}

void ControlProcess::CreateStore(bool forms_cluster) {
  const std::uint64_t replica_incarnation = SystemRandomNumber() >> 1;
  consensus::Membership first_members;
  if (forms_cluster)
    first_members.voters = {{settings_.host, replica_incarnation}};
  Result<void> created = store_->Create(replica_incarnation, first_members);
  Result<consensus::RecoveredState> recovered =
      Fail(ErrorCode::kIo, "not opened");
  if (created)
    recovered = store_->Open();
  if (!recovered) {
    logger_.Failure(LoopNow(), "store_not_made",
                    {{"error", recovered.error().message}});
    on_end_(1);
    return;
  }
  logger_.Info(LoopNow(), forms_cluster ? "cluster_formed" : "cluster_joining",
               {{"replica", replica_incarnation}});
  StartReplica(std::move(recovered).value());
}

void ControlProcess::StartReplica(consensus::RecoveredState recovered) {
  consensus::ReplicaSettings settings;
  for (const MemberSettings& it : settings_.members) {
    if (it.host != settings_.host)
      settings.seed_hosts.push_back(it.host);
  }
  if (recovered.snapshot)
    compacted_index_ = recovered.snapshot->index;
  driver_->Start(settings, std::move(recovered), SystemRandomNumber(),
                 LoopNow());
}

std::optional<Endpoint> ControlProcess::EndpointOfMember(
    const HostId& host) const {
  for (const MemberSettings& it : settings_.members) {
    if (it.host == host)
      return it.peers;
  }
  return std::nullopt;
}

void ControlProcess::OnFrame(const Frame& frame) {
  const TimePoint now = LoopNow();
  switch (frame.channel) {
    case Channel::kConsensus:
      driver_->OnFrame(frame.payload, now);
      break;
    case Channel::kControl:
      OnControlFrame(frame, now);
      break;
    case Channel::kForming:
      OnFormingFrame(frame, now);
      break;
    case Channel::kMembership:
    case Channel::kDispatch:
    case Channel::kRouting:
      break;
  }
  SendAnswers();
}

void ControlProcess::OnFormingFrame(const Frame& frame, TimePoint now) {
  const Result<FormingMessage> message = DecodeFormingMessage(frame.payload);
  if (message.has_error())
    return;
  if (!driver_->started()) {
    former_->OnMessage(message.value(), now);
    RunFormingCommands(now);
    return;
  }
  if (message.value().formed)
    return;
  transport_->Send(frame.sender.peers, Channel::kForming,
                   EncodeFormingMessage({settings_.host, true}));
}

void ControlProcess::OnControlFrame(const Frame& frame, TimePoint now) {
  const Result<ControlMessage> message = DecodeControlMessage(frame.payload);
  if (message.has_error())
    return;
  const auto* request = std::get_if<ControlRequest>(&message.value());
  if (request == nullptr)
    return;
  service_->OnRequest(peers_.GetOrAssignId(frame.sender), *request, now);
}

void ControlProcess::OnOperatorRequest(
    const std::shared_ptr<HttpExchange>& exchange) {
  if (!IsKey(ReadBearerKey(exchange->headers()),
             ReadKeyDigest(settings_.operator_key_sha256))) {
    exchange->Respond(WriteOperatorError(
        {ErrorCode::kUnauthenticated, "an operator's bearer key is needed"}));
    return;
  }
  const Result<ControlRequestBody> body =
      ParseOperatorRequest(exchange->method(), exchange->path(),
                           exchange->query(), exchange->body());
  if (body.has_error()) {
    exchange->Respond(WriteOperatorError(body.error()));
    return;
  }
  const PeerId peer = next_exchange_id_++;
  operator_exchanges_[peer] = exchange;
  exchange->SetGoneHandler([this, peer] {
    service_->OnPeerDisconnected(peer);
    operator_exchanges_.erase(peer);
  });
  service_->OnRequest(peer, {1, body.value()}, LoopNow());
  SendAnswers();
}

void ControlProcess::OnApply(const consensus::Apply& entry) {
  const TimePoint now = LoopNow();
  if (entry.kind == consensus::EntryKind::kCommand) {
    const StateOutcome outcome = machine_.Apply(entry.index, entry.payload);
    service_->OnApplied(entry.index, entry.term, outcome, now);
  }
  applied_term_ = entry.term;
  AnnounceLeadershipWhenApplied(now);
}

void ControlProcess::AnnounceLeadershipWhenApplied(TimePoint now) {
  // The first entry of the term may be applied before OnRole() is called.
  if (term_to_announce_ != applied_term_)
    return;
  term_to_announce_.reset();
  service_->OnLeadership(applied_term_, now);
}

void ControlProcess::OnSnapshot(const consensus::Snapshot& snapshot) {
  const Result<void> restored = machine_.RestoreSnapshot(snapshot.data);
  if (restored.has_error()) {
    logger_.Failure(LoopNow(), "snapshot_unreadable",
                    {{"error", restored.error().message}});
    on_end_(1);
    return;
  }
  compacted_index_ = snapshot.index;
  service_->OnSnapshotRestored(LoopNow());
}

void ControlProcess::OnRole(const consensus::RoleChanged& change) {
  const bool leads = change.role == consensus::Role::kLeader;
  logger_.Info(LoopNow(), "role_changed",
               {{"term", change.term},
                {"leads", leads},
                {"leader", change.leader.host.value()}});
  if (leads) {
    term_to_announce_ = change.term;
    AnnounceLeadershipWhenApplied(LoopNow());
  } else {
    term_to_announce_.reset();
    if (is_leader_)
      service_->OnLeadershipLost(change.leader.host);
    service_->SetLeader(change.leader.host);
  }
  is_leader_ = leads;
}

void ControlProcess::CompactWhenDue(TimePoint now) {
  const consensus::LogIndex applied = driver_->replica().applied_index();
  if (applied < compacted_index_ + kEntriesBetweenSnapshots)
    return;
  compacted_index_ = applied;
  driver_->Compact(applied, machine_.EncodeSnapshot(), now);
}

void ControlProcess::ChangeMembersWhenDue(TimePoint now) {
  if (!is_leader_)
    return;
  const auto change = membership_manager_.NextChange(driver_->replica(), now);
  if (!change.has_value())
    return;
  const auto index = driver_->ProposeMembershipChange(*change, now);
  if (index) {
    logger_.Info(now, "member_change_proposed",
                 {{"replica", consensus::ToString(change->replica)},
                  {"kind", static_cast<int>(change->kind)}});
  }
}

void ControlProcess::Tick() {
  const TimePoint now = LoopNow();
  if (!driver_->started()) {
    former_->Tick(now);
    RunFormingCommands(now);
  } else {
    driver_->Tick(now);
    ChangeMembersWhenDue(now);
    CompactWhenDue(now);
  }
  service_->Tick(now);
  SendAnswers();
  if (stopping_ && (!is_leader_ || now >= stop_deadline_)) {
    on_end_(0);
    return;
  }
  timer_.StartTimer(kTickIntervalMs, [this] { Tick(); });
}

void ControlProcess::RunFormingCommands(TimePoint) {
  for (const FormingCommand& it : former_->TakeCommands()) {
    if (const auto* send = std::get_if<SendForming>(&it)) {
      const std::optional<Endpoint> peer = EndpointOfMember(send->to);
      if (peer.has_value()) {
        transport_->Send(*peer, Channel::kForming,
                         EncodeFormingMessage(send->message));
      }
      continue;
    }
    CreateStore(std::holds_alternative<FormCluster>(it));
  }
}

void ControlProcess::SendAnswers() {
  driver_->Pump();
  for (const SendControlAnswer& it : service_->TakeCommands())
    SendAnswer(it);
}

void ControlProcess::SendAnswer(const SendControlAnswer& command) {
  const auto exchange = operator_exchanges_.find(command.peer);
  if (exchange != operator_exchanges_.end()) {
    exchange->second->Respond(WriteOperatorResponse(command.answer.body));
    operator_exchanges_.erase(exchange);
    return;
  }
  const std::optional<Endpoint> endpoint = peers_.EndpointOf(command.peer);
  if (!endpoint.has_value())
    return;
  transport_->Send(*endpoint, Channel::kControl,
                   EncodeControlMessage(command.answer));
}

}  // namespace briarlead
