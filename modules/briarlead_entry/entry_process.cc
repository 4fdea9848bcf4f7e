#include "briarlead_entry/entry_process.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "briarlead_entry/http_answers.h"
#include "briarlead_membership/briarlead_membership.h"
#include "briarlead_net/loop_clock.h"
#include "briarlead_wire/bearer_field.h"

namespace briarlead {

namespace {

constexpr guint kTickIntervalMs = 50;
/// Time without an answer of the control leader after which the status document
/// reports it as not heard.
constexpr Duration kLeaderTimeout = std::chrono::seconds(2);
constexpr Duration kRetryAfterNotReady = std::chrono::seconds(1);

/// Returns a number that increases with each start of the process.
std::uint64_t StartIncarnation() {
  return static_cast<std::uint64_t>(g_get_real_time());
}

}  // namespace

EntryProcess::EntryProcess(EntrySettings settings,
                           Logger& logger,
                           EndHandler on_end)
    : settings_(std::move(settings)),
      logger_(logger),
      on_end_(std::move(on_end)),
      start_incarnation_(StartIncarnation()),
      context_{settings_, blackboard_, logger_, http_},
      lists_(LoopNow()),
      control_(settings_.controls) {}

EntryProcess::~EntryProcess() = default;

Result<void> EntryProcess::Start() {
  BOOST_OUTCOME_TRY(OpenPorts());
  const TimePoint now = LoopNow();
  OnHostsChanged(now);
  RequestListsFromPeers();
  Tick();
  logger_.Info(now, "entry_started",
               {{"host", settings_.host.value()},
                {"data_centre", settings_.data_centre.value()},
                {"callers", ToString(settings_.callers)},
                {"peers", ToString(settings_.peers)}});
  return outcome::success();
}

void EntryProcess::Stop() {
  if (stopping_)
    return;
  const TimePoint now = LoopNow();
  stopping_ = true;
  logger_.Info(now, "entry_draining",
               {{"completions", completions_->open_requests()},
                {"calls", services_->open_calls()}});
  membership_->StartLeaving(now);
}

Result<void> EntryProcess::OpenPorts() {
  BOOST_OUTCOME_TRY(const FrameKey key,
                    FrameKey::FromSecret(settings_.frame_key));
  PeerTransport::Handlers handlers;
  handlers.on_frame = [this](const Frame& it) { OnFrame(it); };
  handlers.on_link_failure = [this](const Endpoint& it, LinkFailure) {
    OnLinkFailure(it);
  };
  BOOST_OUTCOME_TRY(
      transport_,
      PeerTransport::Open({settings_.host, start_incarnation_, settings_.peers},
                          key, std::move(handlers)));
  MembershipAdapter::Handlers membership_handlers;
  membership_handlers.on_hosts_changed = [this](TimePoint now) {
    OnHostsChanged(now);
  };
  membership_handlers.on_servers_changed = [this](TimePoint now) {
    OnServersChanged(now);
  };
  membership_handlers.on_host_dead =
      [this](const HostId& host, std::uint64_t incarnation, TimePoint now) {
        OnHostDead(host, incarnation, now);
      };
  membership_handlers.on_self_declared_dead = [this](TimePoint now) {
    dispatch_->ReRegisterAll(now);
  };
  membership_ = std::make_unique<MembershipAdapter>(
      context_, *transport_, std::move(membership_handlers));
  DispatchAdapter::Handlers dispatch_handlers;
  dispatch_handlers.on_grant = [this](const PlacementGrant& it, TimePoint now) {
    completions_->OnGrant(it, now);
  };
  dispatch_handlers.on_refusal = [this](const PlacementRefusal& it,
                                        TimePoint now) {
    completions_->OnRefusal(it, now);
  };
  dispatch_ = std::make_unique<DispatchAdapter>(context_, *transport_,
                                                std::move(dispatch_handlers));
  completions_ =
      std::make_unique<CompletionManager>(context_, *dispatch_, metrics_);
  services_ = std::make_unique<ServiceCallManager>(
      context_, [this](ControlRequestBody body, TimePoint now) {
        const std::uint64_t number = control_.SendRequest(std::move(body), now);
        RunControlCommands(now);
        return number;
      });
  request_handler_ = std::make_unique<CallerRequestHandler>(
      context_, lists_, *completions_, *services_, metrics_,
      [this] { return NextRequestId(); });
  HttpServerOptions options;
  options.max_body_bytes = settings_.limits.max_body_bytes;
  options.max_connections = settings_.limits.max_connections;
  options.receive_timeout = settings_.limits.header_timeout;
  BOOST_OUTCOME_TRY(http_server_, HttpServer::Listen(
                                      settings_.callers, options,
                                      [this](std::shared_ptr<HttpExchange> it) {
                                        OnHttpRequest(std::move(it));
                                      }));
  return outcome::success();
}

void EntryProcess::OnHttpRequest(std::shared_ptr<HttpExchange> exchange) {
  const std::string_view path = exchange->path();
  if (path == "/healthz") {
    RespondText(*exchange, 200, "ok\n");
  } else if (path == "/readyz") {
    const bool ready = Ready(LoopNow());
    RespondText(*exchange, ready ? 200 : 503,
                ready ? "ready\n" : "not ready\n");
  } else if (path == "/metrics") {
    metrics_.SetTraffic(*transport_);
    RespondText(*exchange, 200, metrics_.Render());
  } else if (path == "/v1/announce") {
    OnAnnouncement(*exchange);
  } else if (path == "/v1/status" || path == "/v1/drain") {
    OnOperatorRequest(*exchange);
  } else {
    OnCallerRequest(std::move(exchange));
  }
  ScheduleDispatchTick(LoopNow());
}

void EntryProcess::OnAnnouncement(HttpExchange& exchange) {
  if (!IsKey(ReadBearerKey(exchange.headers()),
             DigestOfKey(settings_.backend_server_key))) {
    Refuse(context_, exchange, 401, "Not authenticated",
           "a backend server's key");
    return;
  }
  const Result<Announcement> announcement = ParseAnnouncement(exchange.body());
  if (!announcement) {
    Refuse(context_, exchange, 400, "The announcement has faults",
           announcement.error().message);
    return;
  }
  const TimePoint now = LoopNow();
  const BackendServerRecord& server = announcement.value().record;
  membership_->OnAnnouncement(server, announcement.value().sequence, now);
  if (server.role != BackendServerRole::kService)
    dispatch_->OnEngineReport(server, announcement.value().held, now);
  RespondJson(exchange, "{}");
}

void EntryProcess::OnOperatorRequest(HttpExchange& exchange) {
  if (!IsKey(ReadBearerKey(exchange.headers()),
             ReadKeyDigest(settings_.operator_key_sha256))) {
    Refuse(context_, exchange, 401, "Not authenticated",
           "an operator's key is needed");
    return;
  }
  if (exchange.path() == "/v1/status") {
    RespondJson(exchange, WriteStatusDocument(context_, Status(LoopNow())));
    return;
  }
  if (exchange.method() != "POST") {
    Refuse(context_, exchange, 405, "Use POST", "");
    return;
  }
  RespondJson(exchange, R"({"draining":true})");
  Stop();
}

void EntryProcess::OnCallerRequest(std::shared_ptr<HttpExchange> exchange) {
  const TimePoint now = LoopNow();
  if (!Ready(now)) {
    Refuse(context_, *exchange, 503, "This host takes no requests now",
           stopping_ ? "it is stopping" : "it has no lists yet",
           kRetryAfterNotReady);
    return;
  }
  request_handler_->OnRequest(std::move(exchange), now);
}

EntryStatus EntryProcess::Status(TimePoint now) const {
  EntryStatus status;
  status.ready = Ready(now);
  status.stopping = stopping_;
  status.control_heard = leader_last_heard_.has_value() &&
                         now - *leader_last_heard_ < kLeaderTimeout;
  status.lists_revision = lists_.revision();
  status.open_completions = completions_->open_requests();
  status.open_calls = services_->open_calls();
  status.shards = dispatch_->Summaries(now);
  return status;
}

void EntryProcess::OnFrame(const Frame& frame) {
  const TimePoint now = LoopNow();
  switch (frame.channel) {
    case Channel::kMembership:
      membership_->OnDatagram(frame.payload, now);
      break;
    case Channel::kDispatch: {
      const Result<DispatchMessage> message =
          DecodeDispatchMessage(frame.payload);
      if (message)
        dispatch_->OnMessage(frame.sender, message.value(), now);
      break;
    }
    case Channel::kControl:
      OnControlFrame(frame, now);
      break;
    case Channel::kConsensus:
    case Channel::kForming:
    case Channel::kRouting:
      break;
  }
  ScheduleDispatchTick(now);
}

void EntryProcess::OnControlFrame(const Frame& frame, TimePoint now) {
  const Result<ControlMessage> message = DecodeControlMessage(frame.payload);
  if (!message)
    return;
  if (const auto* answer = std::get_if<ControlAnswer>(&message.value())) {
    OnControlAnswer(frame, *answer, now);
    return;
  }
  // A peer that has just started requests the lists.
  const auto& request = std::get<ControlRequest>(message.value());
  if (!std::holds_alternative<ReadLists>(request.body) ||
      lists_.revision() == 0) {
    return;
  }
  transport_->Send(frame.sender.peers, Channel::kControl,
                   EncodeControlMessage(ControlAnswer{0, lists_.texts()}));
}

void EntryProcess::OnControlAnswer(const Frame& frame,
                                   const ControlAnswer& answer,
                                   TimePoint now) {
  if (const auto* lists = std::get_if<ListsInForce>(&answer.body)) {
    ApplyLists(*lists, now);
    return;
  }
  const bool was_pending =
      control_.OnAnswer(frame.sender.peers, frame.sender.host, answer);
  if (const auto* status = std::get_if<ControlStatus>(&answer.body)) {
    if (status->is_leader) {
      leader_last_heard_ = now;
      lists_.OnLeaderRevision(status->lists_revision);
    }
    return;
  }
  if (was_pending)
    services_->OnControlAnswer(answer.number, answer.body, now);
}

void EntryProcess::OnLinkFailure(const Endpoint& peer) {
  const TimePoint now = LoopNow();
  control_.OnLinkFailure(peer);
  dispatch_->OnLinkFailure(peer, now);
  RunControlCommands(now);
}

void EntryProcess::ApplyLists(const ListsInForce& lists, TimePoint now) {
  if (!lists_.OnLists(lists))
    return;
  request_handler_->OnNewLists(now);
  membership_->SetListsRevision(lists_.revision());
  logger_.Info(now, "lists_in_force", {{"revision", lists_.revision()}});
}

void EntryProcess::RequestListsFromPeers() {
  for (const Endpoint& it : settings_.peers_seeds) {
    transport_->Send(it, Channel::kControl,
                     EncodeControlMessage(ControlRequest{0, ReadLists{}}));
  }
}

void EntryProcess::RunControlCommands(TimePoint now) {
  for (const SendControlRequest& it : control_.TakeCommands()) {
    transport_->Send(it.control_host, Channel::kControl,
                     EncodeControlMessage(it.request));
  }
  for (const std::uint64_t number : control_.TakeUnanswered())
    services_->OnControlUnanswered(number, now);
}

void EntryProcess::OnHostsChanged(TimePoint now) {
  dispatch_->OnHostsChanged(now);
}

void EntryProcess::OnServersChanged(TimePoint now) {
  dispatch_->OnServersChanged(now);
  services_->OnServersChanged(now);
}

void EntryProcess::OnHostDead(const HostId& host,
                              std::uint64_t incarnation,
                              TimePoint now) {
  dispatch_->OnHostDead(host, incarnation, now);
  const std::vector<HostId> reporters = ShardOwner::RankHostsByKey(
      settings_.data_centre, host.value(), blackboard_.hosts, 1);
  // One host reports the death to control, so that claims which the dead host
  // left in progress get their outcome before they time out.
  if (reporters.empty() || reporters.front() != settings_.host)
    return;
  control_.SendRequest(ReportHostDead{host, incarnation}, now);
  RunControlCommands(now);
}

void EntryProcess::Tick() {
  const TimePoint now = LoopNow();
  membership_->SetSummaries(dispatch_->Summaries(now));
  membership_->Tick(now);
  const ListsHeartbeat heartbeat{settings_.host, settings_.data_centre,
                                 start_incarnation_, lists_.revision()};
  control_.Tick(heartbeat, now);
  RunControlCommands(now);
  dispatch_->Tick(now);
  completions_->Tick(now);
  services_->Tick(now);
  if (stopping_ && completions_->open_requests() == 0 &&
      services_->open_calls() == 0 && http_server_->active_exchanges() == 0) {
    logger_.Info(now, "entry_stopped", {});
    on_end_(0);
    return;
  }
  tick_timer_.StartTimer(kTickIntervalMs, [this] { Tick(); });
}

void EntryProcess::ScheduleDispatchTick(TimePoint now) {
  const std::optional<TimePoint> wake = dispatch_->NextWake();
  if (!wake.has_value())
    return;
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*wake - now);
  if (wait.count() >= static_cast<std::int64_t>(kTickIntervalMs))
    return;
  dispatch_timer_.StartTimer(
      static_cast<guint>(std::max<std::int64_t>(0, wait.count())), [this] {
        dispatch_->Tick(LoopNow());
        ScheduleDispatchTick(LoopNow());
      });
}

bool EntryProcess::Ready(TimePoint now) const {
  return !stopping_ && lists_.Ready(now);
}

RequestId EntryProcess::NextRequestId() {
  return {settings_.host, membership_->incarnation(), ++last_request_};
}

}  // namespace briarlead
