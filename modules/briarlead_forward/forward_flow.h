#ifndef BRIARLEAD_FORWARD_FORWARD_FLOW_H_
#define BRIARLEAD_FORWARD_FORWARD_FLOW_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "briarlead_core/random_source.h"
#include "briarlead_core/time.h"
#include "briarlead_forward/engine_book.h"
#include "briarlead_forward/event_splitter.h"
#include "briarlead_forward/forward_command.h"
#include "briarlead_forward/model_placer.h"
#include "briarlead_forward/output_estimator.h"
#include "briarlead_forward/retry_budget.h"
#include "briarlead_forward/server_pool.h"
#include "briarlead_routes/route_table.h"

namespace briarlead {

/// What the requests of one process share.
struct ForwardContext {
  ServerPool& pool;
  RetryBudget& budget;
  RandomSource& random;
  EngineBook& book;
  const ModelPlacer& placer;
  OutputEstimator& outputs;
};

/// How a request went, for the log.
struct ForwardSummary {
  AttemptNumber sends = 0;
  Duration waited = Duration::zero();       ///< For an engine.
  Duration first_event = Duration::zero();  ///< From arrival; zero for none.
  Duration longest_gap = Duration::zero();  ///< Between events.
};

/// The life of one routed request: which server gets it, when it is sent
/// again, and what its caller is told. Events in, commands out.
///
/// | what happened to a send               | sent again          | else      |
/// |---------------------------------------|---------------------|-----------|
/// | no connection                         | always              | 503       |
/// | the server says that it did not run   | always              | 503       |
/// | no response, broken off, not readable | if it may be run    | 502       |
/// | a 5xx of the server                   | if it may be run    | that 5xx  |
/// | a plain request is too slow           | if it may be run    | 504       |
/// | an engine is silent and down          | if it may be run    | goes on   |
/// | a stream breaks off after its start   | if it may be resumed| cut off   |
///
/// "May be run" asks for a repeatable route, attempts left and room in the
/// retry budget. Every further send that reaches a server needs room in the
/// budget; one that found no connection doesn't. Once a send may have run, 503
/// is never the answer.
class ForwardFlow {
 public:
  /// Share of the target latency after which a repeatable request that shows
  /// no response is sent to another server.
  static constexpr double kPatienceWithServer = 0.5;
  /// Sends of one request, those that are known not to have run included.
  static constexpr AttemptNumber kMaxSends = 8;
  /// Silence of an engine after which it is checked, and checked again.
  static constexpr Duration kCheckAfterSilence = std::chrono::milliseconds(200);
  static constexpr Duration kCheckInterval = std::chrono::milliseconds(400);
  /// Silence after which a stream goes on elsewhere though its engine is up:
  /// its connection may be dead. Callers leave after two seconds.
  static constexpr Duration kLongestSilence = std::chrono::milliseconds(1700);
  /// Time before the caller's deadline at which it gets its final answer.
  static constexpr Duration kAnswerMargin = std::chrono::milliseconds(15);
  /// When a caller may come back whose request found no server.
  static constexpr Duration kRetryAfterNoServer =
      std::chrono::milliseconds(800);
  /// When a caller may come back whose request found all servers full.
  static constexpr Duration kRetryAfterFull = std::chrono::milliseconds(300);

  /// Share of the time that a caller has left which a wait for an engine may
  /// be expected to take.
  static constexpr double kWaitShare = 0.7;
  /// How often it is looked again whether a wait can end in time.
  static constexpr Duration kWaitCheckInterval = std::chrono::milliseconds(100);
  /// When a caller may come back whose request found no engine in reach.
  static constexpr Duration kRetryAfterNoEngine = std::chrono::seconds(3);
  /// Bounds of the time after which a caller may come back whose request found
  /// no room.
  static constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(800);
  static constexpr Duration kMostRetryAfter = std::chrono::milliseconds(4000);
  /// Speed of a stream, by which it is judged whether it can end in time.
  static constexpr double kStreamTokensPerSecond = 900;

  /// `table` holds `route`. The request has arrived at `now`; `key` names it in
  /// the engine book.
  ForwardFlow(ForwardContext context,
              BookKey key,
              std::shared_ptr<const RouteTable> table,
              const Route& route,
              RequestFacts facts,
              TimePoint now);

  /// Sends the request for the first time.
  void Start(TimePoint now);

  void OnHead(AttemptNumber attempt, const ResponseFacts& facts, TimePoint now);
  void OnBody(AttemptNumber attempt, std::string_view bytes, TimePoint now);
  void OnComplete(AttemptNumber attempt, TimePoint now);
  /// The attempt ended without a complete response; `connected` tells whether
  /// anything of the request may have been sent.
  void OnFailure(AttemptNumber attempt, bool connected, TimePoint now);
  /// A prefill was done; `kv_source` names its result.
  void OnPrefilled(AttemptNumber attempt, std::string kv_source, TimePoint now);
  void OnCallerGone(TimePoint now);
  /// A server that this request may be at is down.
  void OnServerDown(const ServerStart& server, TimePoint now);
  /// Something that engines have or that waits has changed.
  void OnEnginesChanged(TimePoint now);
  /// Does what is due at `now`.
  void OnWake(TimePoint now);

  /// Returns when OnWake() is due.
  [[nodiscard]] TimePoint NextWake() const;
  /// Returns true once the caller has its final answer or is gone.
  [[nodiscard]] bool done() const { return done_; }
  [[nodiscard]] const RequestFacts& facts() const { return facts_; }
  [[nodiscard]] const Route& route() const { return route_; }
  [[nodiscard]] const ForwardSummary& summary() const { return summary_; }

  /// Returns what is to be done, in order; empties the queue.
  std::vector<ForwardCommand> TakeCommands();

 private:
  /// The send under way.
  struct Attempt {
    AttemptNumber number = 0;
    ServerRecord server;
    SendPart part = SendPart::kWhole;
    std::string kv_source;
    bool extra = false;  ///< Counts against the retry budget.
    TimePoint sent_at;
    TimePoint give_up_at;
    TimePoint heard_at;  ///< When something of a response came last.
    TimePoint check_at;  ///< When an engine is to be checked.
    std::optional<ResponseFacts> head;
    std::string body;  ///< Of a response that is answered as a whole.
    bool streams = false;
  };

  void Send(TimePoint now);
  void SendPlain(TimePoint now);
  void SendModel(TimePoint now);
  void SendDecode(TimePoint now);
  void Wait(TimePoint now);
  [[nodiscard]] ModelDemand Demand() const;
  /// Returns the time that a request must wait for an engine, as the queue and
  /// the streams under way tell.
  [[nodiscard]] Duration ExpectedWait(TimePoint now) const;
  /// Returns when a first token would come too late for the caller.
  [[nodiscard]] TimePoint WaitEnd() const;
  [[nodiscard]] bool WaitIsHopeless(TimePoint now) const;
  /// Looks again whether a wait can end in time.
  void CheckWait(TimePoint now);
  void RefuseForRoom(TimePoint now);
  void RefuseWithoutEngine(TimePoint now);
  /// Returns the time that an engine's first word may take.
  [[nodiscard]] Duration FirstWordTime(const ServerRecord& server,
                                       SendPart part) const;
  /// Gives the present attempt up for another server, if there is one.
  void MoveOn(std::string_view why, TimePoint now);
  void OnSilence(TimePoint now);
  void LeaveBook(TimePoint now);
  /// Keeps the KV result of an attempt that was not run, while it lives.
  void KeepKvResult(TimePoint now);
  void NoteEvents(std::uint32_t events, TimePoint now);
  void SendTo(const ServerRecord& server, SendPart part, TimePoint now);
  [[nodiscard]] bool MaySendAgain(TimePoint now);
  /// Returns how many sends of the next try are beyond the first of their kind.
  [[nodiscard]] unsigned ExtrasOfNextTry() const;
  /// Takes them out of the retry budget; returns false when it has no room.
  bool HoldExtras(TimePoint now);
  /// Counts a send; returns whether it is beyond the first of its kind.
  bool CountArrival(SendPart part, TimePoint now);
  /// Takes back the count of a send that found no connection.
  void UncountArrival(const Attempt& attempt);
  [[nodiscard]] unsigned& ArrivalsOf(SendPart part) {
    return part == SendPart::kPrefill ? prefill_arrivals_ : run_arrivals_;
  }
  /// Whether the server of the present attempt may be given up for another.
  [[nodiscard]] bool MayMoveOn() const;
  /// Ends the attempt, tells the pool, and leaves a note for the log.
  void EndAttempt(AttemptOutcome outcome,
                  std::string_view detail,
                  TimePoint now);
  /// After an attempt that did not serve: sends again or gives up.
  void RetryOrGiveUp(bool may_have_run, TimePoint now);
  void GiveUp(std::string_view reason, TimePoint now);
  void CompleteWhole(TimePoint now);
  void OnStreamBytes(std::string_view bytes, TimePoint now);
  void Finish(TimePoint now);
  [[nodiscard]] bool IsCurrent(AttemptNumber attempt) const;
  template <typename Command>
  void Emit(Command command) {
    commands_.emplace_back(std::move(command));
  }

  ForwardContext context_;
  std::shared_ptr<const RouteTable> table_;
  const Route& route_;
  RequestFacts facts_;
  ServiceId service_;
  const RoutedService* service_traits_;
  BookKey key_;
  TimePoint arrived_;
  TimePoint deadline_;
  std::optional<Attempt> attempt_;
  AttemptNumber sends_ = 0;
  unsigned runs_ = 0;              ///< Sends that may have run.
  unsigned prefill_arrivals_ = 0;  ///< Sends that reached a server, by part.
  unsigned run_arrivals_ = 0;
  unsigned extras_held_ = 0;  ///< Taken out of the retry budget, not yet used.
  bool refused_full_ = false;
  std::vector<ServerStart> tried_;
  std::vector<ServerStart> tried_prefill_;
  std::optional<ServerRecord> decode_;  ///< Where the KV result shall go.
  std::string kv_source_;
  TimePoint prefilled_at_;
  std::uint32_t produced_tokens_ = 0;
  BackendServerId read_by_;  ///< The prefill engine that read the prompt last.
  std::uint32_t produced_at_prefill_ = 0;
  bool waiting_ = false;
  TimePoint waiting_since_;
  TimePoint wait_check_at_;
  std::optional<Duration> retry_after_;
  TimePoint last_event_at_;
  ForwardSummary summary_;
  EventSplitter events_;
  bool stream_begun_ = false;
  std::optional<std::uint64_t> last_event_id_;
  /// A server's own failure, answered if nothing better comes.
  std::optional<AnswerWhole> fallback_;
  bool done_ = false;
  std::vector<ForwardCommand> commands_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_FORWARD_FLOW_H_
