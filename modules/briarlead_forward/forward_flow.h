#ifndef BRIARLEAD_FORWARD_FORWARD_FLOW_H_
#define BRIARLEAD_FORWARD_FORWARD_FLOW_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "briarlead_core/random_source.h"
#include "briarlead_core/time.h"
#include "briarlead_forward/body_buffer.h"
#include "briarlead_forward/crash_suspects.h"
#include "briarlead_forward/engine_load_tracker.h"
#include "briarlead_forward/event_splitter.h"
#include "briarlead_forward/forward_attempt.h"
#include "briarlead_forward/forward_command.h"
#include "briarlead_forward/forward_context.h"
#include "briarlead_forward/model_placer.h"
#include "briarlead_forward/output_length_estimator.h"
#include "briarlead_forward/placement_owners.h"
#include "briarlead_forward/request_names.h"
#include "briarlead_forward/retry_budget.h"
#include "briarlead_forward/send_gate.h"
#include "briarlead_forward/server_pool.h"
#include "briarlead_forward/shutdown_plan.h"
#include "briarlead_forward/stream_origins.h"
#include "briarlead_limits/quota_client.h"
#include "briarlead_routes/route_table.h"

namespace briarlead {

/// State machine that forwards one request: it decides which server gets the
/// request, when the request is retried, and what the caller gets. It takes
/// events and produces commands.
///
/// | result of an attempt                  | retried             | otherwise |
/// |---------------------------------------|---------------------|-----------|
/// | no connection                         | always              | 503       |
/// | another host did not pass it on       | always              | 503       |
/// | the server states that it did not run | always              | 503       |
/// | response missing, truncated, invalid  | if it may run again | 502       |
/// | a 5xx of the server                   | if it may run again | that 5xx  |
/// | a plain request is too slow           | if it may run again | 504       |
/// | a stream is silent, its server down   | if it may run again | continues |
/// | the same, the server known to be down | if it may run again | 502 or    |
/// |                                       |                     | aborted   |
/// | a stream breaks off after its start   | if resumable        | aborted   |
/// | the content has ended servers before  | if it was answered since | 502  |
/// | the content is blocked                | never               | 503       |
///
/// A stream that has begun goes on at servers of the version that began it,
/// also in a later attempt of its caller. If that version can't be found, the
/// attempt is refused: what two versions write doesn't fit together.
///
/// A server that is down from this host is reached through another entry host,
/// which passes the request on and decides nothing.
///
/// A request that finds only servers which named a limit waits for a permit if
/// that comes in time; otherwise it is refused at once.
///
/// A request may run again on a repeatable route with attempts left and room in
/// the retry budget. Every retry that reaches a server needs room in the
/// budget; an attempt that found no connection does not count. Once an attempt
/// may have run, the caller never gets 503.
///
/// A request of a client account is sent only while its key is valid, which is
/// checked before each send; a request in flight is not cut off.
class ForwardFlow {
 public:
  /// Share of the target latency after which a repeatable request without a
  /// response is sent to another server.
  static constexpr double kServerTimeoutShare = 0.5;
  /// Maximum attempts of one request, including those that did not run.
  static constexpr AttemptNumber kMaxSends = 8;
  /// Time without data from an engine after which it is checked, and the
  /// interval between further checks.
  static constexpr Duration kCheckAfterSilence = std::chrono::milliseconds(200);
  static constexpr Duration kCheckInterval = std::chrono::milliseconds(400);
  /// Time without data after which a stream is resumed on another engine though
  /// its engine is up: the connection may be dead. Callers disconnect after two
  /// seconds.
  static constexpr Duration kMaxSilence = std::chrono::milliseconds(1700);
  /// Time before the caller's deadline at which it gets its final response.
  static constexpr Duration kAnswerMargin = std::chrono::milliseconds(15);
  /// Retry-After for a request that found no server.
  static constexpr Duration kRetryAfterNoServer =
      std::chrono::milliseconds(800);
  /// Retry-After for a request that a server refused without running it.
  static constexpr Duration kRetryAfterFull = std::chrono::milliseconds(300);

  /// Maximum expected wait for an engine, as a share of the time in which the
  /// request can still be served.
  static constexpr double kMaxWaitShare = 0.7;
  /// Pace of a stream from which its own duration is estimated while the
  /// engines of a service are alike.
  static constexpr double kStreamTokensPerSecond = 900;
  /// Least time over which the pace of a stream is observed: events that arrive
  /// together say nothing of it.
  static constexpr Duration kPaceWindow = std::chrono::milliseconds(40);
  /// Interval at which a waiting request checks whether it can still be served
  /// in time.
  static constexpr Duration kWaitCheckInterval = std::chrono::milliseconds(100);
  /// Least time after which a request looks again for a permit.
  static constexpr Duration kPermitCheckInterval =
      std::chrono::milliseconds(20);
  /// Wait for a permit that is worth it even if the target latency is missed.
  static constexpr Duration kMinPermitWait = std::chrono::milliseconds(300);
  /// Interval at which a waiting request repeats its question to the owner of
  /// the engines.
  static constexpr Duration kRepeatInterval = std::chrono::milliseconds(250);
  /// Retry-After for a request that found no reachable engine.
  static constexpr Duration kRetryAfterNoEngine = std::chrono::seconds(3);
  /// Retry-After while it is unknown at which version a stream began: a report
  /// of it may be on its way.
  static constexpr Duration kRetryAfterUnknownOrigin =
      std::chrono::milliseconds(500);
  /// Retry-After while this host stops: others serve at once.
  static constexpr Duration kRetryAfterStopping =
      std::chrono::milliseconds(100);
  /// Retry-After while this host may not use keys: others may.
  static constexpr Duration kRetryAfterLeaseEnded =
      std::chrono::milliseconds(500);
  /// Bounds of Retry-After for a request that found all engines full.
  static constexpr Duration kMinRetryAfter = std::chrono::milliseconds(800);
  static constexpr Duration kMaxRetryAfter = std::chrono::milliseconds(4000);
  /// Maximum wait for an amount of the quota, as a share of the target latency,
  /// and its least value, in which one silent issuer can be passed over.
  static constexpr double kQuotaWaitShare = 0.25;
  static constexpr Duration kMinQuotaWait = std::chrono::milliseconds(100);
  /// `table` owns `route`. The request arrived at `now`; `key` identifies it in
  /// the load tracker.
  ForwardFlow(ForwardContext context,
              RequestKey key,
              std::shared_ptr<const RouteTable> table,
              const Route& route,
              RequestFacts facts,
              TimePoint now);

  /// Returns when a request that arrives at `now` has its answer at the latest.
  [[nodiscard]] static TimePoint DeadlineOf(const Route& route,
                                            const RequestFacts& facts,
                                            TimePoint now);

  /// Sets what names the request if servers end under it. The views must
  /// outlive the flow.
  void SetContent(const RequestContent& content) { content_ = content; }

  /// Makes the first attempt.
  void Start(TimePoint now);

  /// The attempt waits for a connection; until OnConnected(), nothing of the
  /// request has left.
  void OnConnecting(AttemptNumber attempt);
  void OnConnected(AttemptNumber attempt);
  void OnHead(AttemptNumber attempt, const ResponseFacts& facts, TimePoint now);
  /// The head of a successful prefill's response.
  void OnPrefillHead(AttemptNumber attempt,
                     const ResponseFacts& facts,
                     TimePoint now);
  void OnBody(AttemptNumber attempt, std::string_view bytes, TimePoint now);
  void OnComplete(AttemptNumber attempt, TimePoint now);
  /// The attempt ended without a complete response. `connected` is false if
  /// certainly nothing of the request was sent.
  void OnFailure(AttemptNumber attempt, bool connected, TimePoint now);
  /// The other host did not pass the request on: nothing of it was sent.
  void OnNotRelayed(AttemptNumber attempt, RelayRefusal why, TimePoint now);
  /// A prefill is complete; `kv_source` is the address of its result.
  void OnPrefilled(AttemptNumber attempt, std::string kv_source, TimePoint now);
  void OnCallerGone(TimePoint now);
  /// The server is down; it may be the one that runs this request.
  void OnServerDown(const ServerIncarnation& server, TimePoint now);
  /// The load of the engines, the waiting requests or the reachable engines
  /// have changed.
  void OnEnginesChanged(TimePoint now);
  /// The owner of the engines answered an AskForPlacement, or placed this
  /// request while it waited.
  void OnPlacement(const ModelPlacer::Answer& answer, TimePoint now);
  /// The control hosts answered an AskForStreamOrigin; nullopt if none knows.
  void OnStreamOrigin(const std::optional<ServiceVersion>& origin,
                      TimePoint now);
  /// The issuers of quotas answered an AskForQuota.
  void OnQuota(const QuotaAnswer& answer, TimePoint now);
  /// The scheduler of the service answered an AskForSlot.
  void OnSlot(const SlotAnswer& answer, TimePoint now);
  /// No scheduler of the service answers: this host chooses a server.
  void OnNoSlotScheduler(TimePoint now);
  /// Permits for servers that named a limit have come.
  void OnPermitsChanged(TimePoint now);
  /// No owner of the engines answers: this host places the request itself, by
  /// what it knows.
  void OnNoOwner(TimePoint now);
  /// The process stops, and some time of it has passed: refuses the request
  /// if no server has it and none can answer it in time, and gives it its final
  /// answer once the time for these has come.
  void OnShutdown(TimePoint now);
  /// Handles the timeouts that are due at `now`.
  void OnWake(TimePoint now);

  /// Returns when OnWake() is due.
  [[nodiscard]] TimePoint NextWake() const;
  /// Returns true once the caller has its final response or has disconnected.
  [[nodiscard]] bool done() const { return done_; }
  [[nodiscard]] RequestKey key() const { return key_; }
  [[nodiscard]] const RequestFacts& facts() const { return facts_; }
  /// Returns the names of the request's content.
  const RequestNames& Names();
  [[nodiscard]] const Route& route() const { return route_; }
  [[nodiscard]] const ForwardSummary& summary() const { return summary_; }

  /// Removes and returns the commands to execute, in order.
  std::vector<ForwardCommand> TakeCommands();

 private:
  /// A plain request that waits for a permit.
  struct PermitWait {
    std::optional<SendPermit> permit;  ///< Claimed; starts at `wake_at`.
    TimePoint since;
    TimePoint wake_at;
  };
  using Attempt = ForwardAttempt;

  /// Returns whether the caller goes on with a stream of an earlier attempt.
  [[nodiscard]] bool IsResumption() const;
  /// Sends a resumption to the version that began its stream, or asks which one
  /// that is.
  void Resume(TimePoint now);
  /// Returns where the stream began, as far as this host knows by itself.
  [[nodiscard]] std::optional<ServiceVersion> KnownOrigin() const;
  void ResumeAt(const ServiceVersion& origin, TimePoint now);
  /// Returns the tokens of the events that the caller has already.
  [[nodiscard]] std::uint32_t TokensBefore() const;
  void RefuseUnknownOrigin(TimePoint now);
  void Send(TimePoint now);
  /// Returns whether the request lacks an amount of its account's quota: it has
  /// none, or one that lapsed before the request reached a server.
  [[nodiscard]] bool NeedsAmount(TimePoint now) const;
  /// Asks for an amount if the request needs one; returns whether it may be
  /// sent.
  bool AdmitQuota(TimePoint now);
  void RefuseQuota(const QuotaAnswer& answer, TimePoint now);
  /// Records that the attempt, if a server may have run it, has used its
  /// amount.
  void RecordAmountUse(AttemptOutcome outcome);
  /// Sends the request to the engines that are reserved for it.
  void SendPlacement(const ModelPlacement& placement, TimePoint now);
  void SendPlain(TimePoint now);
  /// Sends the request to the server that this host chooses.
  void SendPlainByChoice(TimePoint now);
  /// Returns whether a scheduler hands out the slots of the servers that the
  /// request may be sent to.
  [[nodiscard]] bool NeedsSlot() const;
  void RequestSlot(TimePoint now);
  /// Sends the request to the server of which it has a slot.
  void SendToSlot(const ServerRecord& server, TimePoint now);
  /// Gives back the slot of the attempt that ends, if it has one.
  void ReturnSlot(AttemptOutcome outcome);
  /// Waits for a permit for one of the servers of `query`, all of which named a
  /// limit; returns false if none comes in time.
  bool WaitForPermit(const ServerQuery& query, TimePoint now);
  /// Returns until when the request may wait for a permit. A long queue would
  /// make all requests late, so the target latency bounds it.
  [[nodiscard]] TimePoint LatestPermitStart() const;
  /// Sends the request if its permit has started.
  void ContinuePermitWait(TimePoint now);
  void EndPermitWait(TimePoint now);
  /// Asks for permits ahead of the next model request, where an engine of
  /// `stage` lacks one.
  void WantEnginePermit(EngineStage stage, TimePoint now);
  void SendModel(TimePoint now);
  /// Sets the names of the request's content if one of them may be a suspect.
  void NameIfSuspect();
  /// Returns the parts of the prompt that others share and, if it may be a
  /// suspect, the names of the request's content.
  [[nodiscard]] std::vector<SuspectId> Suspects();
  /// Refuses the request if its content is blocked; returns whether it may be
  /// sent.
  bool AdmitContent(TimePoint now);
  /// As AdmitContent(), for a request that was admitted before; returns whether
  /// it was refused.
  bool RefuseBlockedContent(TimePoint now);
  /// Tells the suspects how an attempt ended.
  void RecordSuspects(const Attempt& attempt,
                      AttemptOutcome outcome,
                      TimePoint now);
  /// Returns whether servers ended under this very request before: then one
  /// that breaks off its run is not followed by the next.
  [[nodiscard]] bool HasCrashedBefore(TimePoint now);
  /// Records that the engine goes on some time after its first event.
  void RecordSurvival(TimePoint now);
  void AskForEngines(TimePoint now);
  void PlaceLocally(TimePoint now);
  void HandlePlacement(const ModelPlacer::Answer& answer, TimePoint now);
  /// Returns whether an engine of the stream's version announces itself as
  /// ready.
  [[nodiscard]] bool VersionIsServed() const;
  [[nodiscard]] bool UsesBarredEngine(const ModelPlacement& placement,
                                      TimePoint now) const;
  void StartPlacement(const ModelPlacement& placement, TimePoint now);
  void SendDecode(TimePoint now);
  /// Queues the request for an engine, or refuses it if the wait is too long.
  void Wait(TimePoint now);
  [[nodiscard]] ModelDemand Demand() const;
  /// Returns the engines that failed this request or want no requests.
  [[nodiscard]] std::vector<ServerIncarnation> ExcludedEngines(
      TimePoint now) const;
  /// Returns how long the request is expected to wait for an engine.
  [[nodiscard]] Duration ExpectedWait(TimePoint now) const;
  /// Returns until when the request may wait and still be served in time.
  [[nodiscard]] TimePoint LatestWaitEnd() const;
  [[nodiscard]] bool WaitIsTooLong(TimePoint now) const;
  /// Refuses a waiting request that can no longer be served in time.
  void CheckWait(TimePoint now);
  void RefuseEnginesFull(TimePoint now);
  void RefuseNoEngine(TimePoint now);
  /// Returns the time within which an engine must start to respond.
  [[nodiscard]] Duration FirstResponseTime(const ServerRecord& engine,
                                           SendPart part) const;
  /// Records how long the prefill that has ended took.
  void ObservePrefill(TimePoint now);
  /// Records at which pace the stream got `tokens`.
  void ObservePace(std::uint32_t tokens, TimePoint now);
  /// Abandons the current attempt and sends the request to another server, if a
  /// retry is allowed.
  void TryAnotherServer(std::string_view why, TimePoint now);
  /// Ends a stream that can't be sent to another server and whose engine is
  /// known to be down.
  void EndIfKnownDown(TimePoint now);
  /// Handles a server that has sent no data for too long.
  void OnSilence(TimePoint now);
  /// The same for a server of a plain service.
  void OnPlainSilence(TimePoint now);
  /// Removes everything of this request from the load tracker.
  void RemoveLoad(TimePoint now);
  /// Keeps the KV result of an attempt that did not run for the next one, if
  /// the result has not expired.
  void KeepKvResult(TimePoint now);
  /// Records the timing of new events and the tokens that they contain.
  void CountEvents(std::uint32_t events, TimePoint now);
  void SendTo(const ServerRecord& server, SendPart part, TimePoint now);
  /// Returns the host through which `server` is reached; nullopt if it is
  /// reached directly.
  [[nodiscard]] std::optional<Endpoint> RelayFor(
      const ServerIncarnation& server,
      TimePoint now) const;
  /// Lets the request be sent to `server` again, which may be reached through
  /// another host.
  void ForgetTried(const ServerIncarnation& server);
  /// Checks the server of the current attempt if no server has said anything
  /// since it was sent: this host may be cut off.
  void CheckIfNothingAnswers();
  /// Returns whether the request may run once more. If so, the retries that it
  /// takes are reserved.
  [[nodiscard]] bool MayRetry(TimePoint now);
  /// Returns how many sends of the next attempt (prefill, run) are retries.
  [[nodiscard]] unsigned RetriesOfNextSend() const;
  /// Acquires the retries of the next attempt from the budget; returns false if
  /// the budget has no room for them.
  bool ReserveRetries(TimePoint now);
  /// Counts a send of `part`; returns whether it is a retry.
  bool CountDelivery(SendPart part, TimePoint now);
  /// Reverts CountDelivery() for an attempt that found no connection.
  void UncountDelivery(const Attempt& attempt);
  [[nodiscard]] unsigned& DeliveriesOf(SendPart part) {
    return part == SendPart::kPrefill ? prefill_deliveries_ : run_deliveries_;
  }
  /// `n` further bytes of the response's body can't be buffered.
  void OnBodyRefused(std::size_t n, TimePoint now);
  /// Ends the current attempt, whose response exceeds a limit or isn't what it
  /// claims to be.
  void EndSpoiledAttempt(std::string_view detail, TimePoint now);
  /// Returns whether the current attempt may be abandoned for another server.
  [[nodiscard]] bool MayTryAnotherServer() const;
  /// Ends the current attempt, reports its outcome to the pool and logs it.
  void EndAttempt(AttemptOutcome outcome,
                  std::string_view detail,
                  TimePoint now);
  /// Retries after an attempt that did not serve the request, or gives up.
  void RetryOrGiveUp(bool may_have_run, TimePoint now);
  void GiveUp(std::string_view reason, TimePoint now);
  void CompleteWhole(TimePoint now);
  void OnStreamBytes(std::string_view bytes, TimePoint now);
  void Finish(TimePoint now);
  /// Ends the current attempt with the request.
  void AbandonAttempt(AttemptOutcome outcome,
                      std::string_view detail,
                      TimePoint now);
  /// Returns whether a request that no server has may still be sent to one, as
  /// far as the end of the process goes.
  [[nodiscard]] bool MayBegin(TimePoint now) const;
  /// Ends the request because the process stops.
  void EndWithProcess(TimePoint now);
  /// Records what the response to the current attempt says of its server.
  void RecordNotice(const ResponseFacts& facts, TimePoint now);
  /// Returns the time until a server of the service that wanted a pause takes
  /// requests again.
  [[nodiscard]] std::optional<Duration> WantedPause(TimePoint now) const;
  /// Returns the rank of the request: its account's, then its route's.
  [[nodiscard]] unsigned Rank() const;
  /// Sets what the server is told of the request's account.
  void AddAccount(SendToServer& command) const;
  [[nodiscard]] SendVerdict CheckAccount(TimePoint now) const;
  /// Refuses the request if its account's key may not be used; returns whether
  /// it was refused.
  bool RefuseByAccount(TimePoint now);
  [[nodiscard]] bool IsCurrent(AttemptNumber attempt) const;
  template <typename Command>
  void Emit(Command command) {
    commands_.emplace_back(std::move(command));
  }

  ForwardContext context_;
  std::shared_ptr<const RouteTable> table_;
  const Route& route_;
  RequestFacts facts_;
  RequestContent content_;
  std::optional<RequestNames> head_names_;
  std::optional<RequestNames> names_;  ///< Set once they are needed.
  ServiceId service_;
  const RoutedService* routed_service_;
  RequestKey key_;
  StreamId stream_;
  TimePoint arrived_;
  TimePoint deadline_;
  std::optional<Attempt> attempt_;  ///< The one in progress.
  BodyBuffer body_;  ///< Of the attempt's response if it is not streamed.
  AttemptNumber sends_ = 0;
  unsigned runs_ = 0;                ///< Attempts that may have run.
  unsigned prefill_deliveries_ = 0;  ///< Sends that reached a server, by part.
  unsigned run_deliveries_ = 0;
  /// Retries acquired from the budget and not yet used.
  unsigned reserved_retries_ = 0;
  bool refused_full_ = false;
  std::vector<ServerIncarnation> tried_;
  std::vector<ServerIncarnation> tried_prefill_;
  std::optional<ServerRecord> decode_;  ///< The engine placed for decoding.
  std::uint64_t prefill_backlog_ = 0;   ///< When the prefill was placed.
  std::string kv_source_;
  SoftwareVersion kv_software_;  ///< Of the engine that wrote the KV result.
  TimePoint prefilled_at_;
  std::uint32_t produced_tokens_ = 0;
  BackendServerId prefilled_by_;  ///< The engine of the last completed prefill.
  std::uint32_t tokens_at_prefill_ = 0;
  std::optional<PermitWait> permit_wait_;
  std::optional<ModelPlacement> placement_;  ///< Waits for an amount.
  bool asking_amount_ = false;  ///< An AskForQuota has no answer yet.
  bool amount_used_ = false;    ///< A server may have run the request.
  TimePoint amount_lapses_at_;
  std::optional<TimePoint> slot_wanted_since_;  ///< An AskForSlot is open.
  std::optional<ServerRecord> slot_server_;     ///< Waits for an amount.
  bool has_slot_ = false;
  bool is_trial_ = false;        ///< Tries a blocked suspect.
  bool asking_ = false;          ///< An AskForPlacement has no answer yet.
  bool finding_origin_ = false;  ///< An AskForStreamOrigin has none yet.
  TimePoint asked_at_;
  bool waiting_ = false;
  /// The wait that the owner of the engines expects.
  Duration owner_wait_ = Duration::zero();
  TimePoint waiting_since_;
  TimePoint wait_check_at_;
  std::optional<Duration> retry_after_;
  TimePoint last_event_at_;
  ForwardSummary summary_;
  EventSplitter event_splitter_;
  bool stream_started_ = false;
  std::optional<std::uint64_t> last_event_id_;
  /// Version of the server that began the stream; it goes on at no other.
  std::optional<SoftwareVersion> software_;
  /// A server's 5xx response, sent to the caller if no retry succeeds.
  std::optional<SendResponse> fallback_;
  bool done_ = false;
  std::vector<ForwardCommand> commands_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_FORWARD_FLOW_H_
