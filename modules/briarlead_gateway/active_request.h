#ifndef BRIARLEAD_GATEWAY_ACTIVE_REQUEST_H_
#define BRIARLEAD_GATEWAY_ACTIVE_REQUEST_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "briarlead_core/logger.h"
#include "briarlead_forward/forward_flow.h"
#include "briarlead_gateway/gateway_metrics.h"
#include "briarlead_gateway/relay_codec.h"
#include "briarlead_gateway/request_codec.h"
#include "briarlead_gateway/server_checker.h"
#include "briarlead_gateway/server_notices.h"
#include "briarlead_net/glib_handles.h"
#include "briarlead_wire/http_listener.h"
#include "briarlead_wire/upstream_pool.h"

namespace briarlead {

/// The services that all requests of one entry process share.
struct RequestEnvironment {
  HttpListener& callers;
  UpstreamPool& servers;
  const RequestCodec& codec;
  const RelayCodec& relay_codec;
  std::uint16_t relay_port;  ///< The same on every entry host.
  Logger& logger;
  ServerChecker& checker;
  ServerNotices& notices;
  GatewayMetrics& metrics;
  ForwardContext forward;
  /// Asks the owner of the engines to place the request.
  std::function<void(const AskForPlacement& ask)> ask_owner;
  /// Asks the control hosts at which version the stream began.
  std::function<void(const AskForStreamOrigin& ask)> find_origin;
  /// Asks for an amount of the account's quota.
  std::function<void(const AskForQuota& ask)> ask_quota;
  /// Sends the questions for permits that came up while the request was
  /// handled.
  std::function<void()> ask_for_permits;
  /// Asks the scheduler of the service for a slot.
  std::function<void(const AskForSlot& ask)> ask_for_slot;
  /// Gives the slot of the request back.
  std::function<void(const ReleaseSlot& release)> release_slot;
};

/// A request in progress: executes the commands of its ForwardFlow.
class ActiveRequest {
 public:
  /// Called when the request has ended. The owner then destroys the request,
  /// but not within the call.
  using DoneHandler = std::function<void(const CallerRequestId& id)>;

  ActiveRequest(RequestEnvironment environment,
                const CallerRequestId& id,
                RequestHead head,
                std::string body,
                std::unique_ptr<ForwardFlow> flow,
                DoneHandler on_done);

  void Start();
  void OnCallerGone();
  /// The caller has taken what waited of its response.
  void OnCallerDrained();
  void OnServerDown(const ServerIncarnation& server);
  /// The load or the reachability of the engines has changed.
  void OnEnginesChanged();
  /// The owner of the engines has answered.
  void OnPlacement(const ModelPlacer::Answer& answer);
  /// The control hosts have answered at which version the stream began.
  void OnStreamOrigin(const std::optional<ServiceVersion>& origin);
  /// The issuers of quotas have answered.
  void OnQuota(const QuotaAnswer& answer);
  /// Permits for servers that named a limit have come.
  void OnPermitsChanged();
  /// The process stops, and some time of it has passed.
  void OnShutdown();
  /// No owner of the engines answers.
  void OnNoOwner();
  /// The scheduler of the service has answered.
  void OnSlot(const SlotAnswer& answer);
  /// No scheduler of the service answers.
  void OnNoSlotScheduler();

  [[nodiscard]] RequestKey key() const { return flow_->key(); }

 private:
  /// The call to a backend server for one attempt.
  struct Call {
    std::unique_ptr<UpstreamCall> call;
    ResponseHead head;
    SendPart part = SendPart::kWhole;
    ServerRecord server;
    TimePoint sent_at;
    /// Of a request that another host passes on.
    std::optional<std::string> relay_tag;
    std::string prefill_body;
  };

  /// Executes the flow's commands until there are none left.
  void ExecuteCommands();
  void Execute(const SendToServer& it);
  void LogSend(const SendToServer& it, TimePoint now) const;
  UpstreamHandlers HandlersOf(AttemptNumber attempt);
  [[nodiscard]] ResponseMatch Match(AttemptNumber attempt,
                                    const ResponseHead& response);
  void Execute(const WithdrawAttempt& it);
  /// Takes the body of `it`.
  void Execute(SendResponse& it);
  void Execute(const SendStreamHead& it);
  void Execute(const SendStreamBytes& it);
  void Execute(const EndStream& it);
  void Execute(const AbortStream& it);
  void Execute(const SendOwnResponse& it);
  void Execute(const CheckServer& it);
  void Execute(const AskForPlacement& it);
  void Execute(const AskForStreamOrigin& it);
  void Execute(const AskForQuota& it);
  void Execute(const AskForSlot& it);
  void Execute(const ReleaseSlot& it);
  void Execute(const LogAttempt& it);

  void OnConnected(AttemptNumber attempt);
  void OnHead(AttemptNumber attempt, ResponseHead& head);
  void OnBody(AttemptNumber attempt, std::string_view bytes);
  void OnComplete(AttemptNumber attempt);
  void OnFailure(AttemptNumber attempt, UpstreamFailure failure);
  /// Returns the header fields of a server's response that the caller gets.
  static HeaderFields FieldsForCaller(const ResponseHead& head);
  /// Logs and counts the final response; status 0 stands for an aborted stream.
  void RecordAnswer(int status, bool from_server, std::string_view how);
  /// Counts how a request of an account ended.
  void CountForAccount(AccountOutcome outcome);
  void ScheduleWake();
  /// Stops reading the response until the caller has taken what waits.
  void PauseReading();
  /// Tells the flow that the server's silence is due to the pause.
  void ExtendPause();

  RequestEnvironment environment_;
  CallerRequestId id_;
  RequestHead head_;
  std::shared_ptr<const std::string> body_;
  std::unique_ptr<ForwardFlow> flow_;
  DoneHandler on_done_;
  std::string caller_address_;
  TimePoint arrived_;
  std::map<AttemptNumber, Call> calls_;
  std::optional<TimePoint> wake_at_;
  SourceHandle wake_timer_;
  SourceHandle pause_timer_;  ///< Runs while reading is paused.
  bool executing_ = false;
  bool finished_ = false;
};

}  // namespace briarlead

#endif  // BRIARLEAD_GATEWAY_ACTIVE_REQUEST_H_
