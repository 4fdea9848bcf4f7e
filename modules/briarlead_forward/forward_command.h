#ifndef BRIARLEAD_FORWARD_FORWARD_COMMAND_H_
#define BRIARLEAD_FORWARD_FORWARD_COMMAND_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "briarlead_accounts/bearer_key.h"
#include "briarlead_accounts/client_account.h"
#include "briarlead_core/endpoint.h"
#include "briarlead_core/time.h"
#include "briarlead_forward/model_demand.h"
#include "briarlead_forward/server_health.h"
#include "briarlead_placement/slot_client.h"
#include "briarlead_routes/server_limit_message.h"
#include "briarlead_routes/server_record.h"
#include "briarlead_routes/stream_origin.h"
#include "briarlead_routes/suspect_id.h"

namespace briarlead {

/// Number of an attempt to send one request, from 1.
using AttemptNumber = std::uint32_t;

/// The properties of a request that forwarding depends on.
struct RequestFacts {
  std::string id;
  /// How long the caller waits, counted from the arrival of its request.
  Duration patience = std::chrono::seconds(60);
  /// The event after which the caller resumes a stream.
  std::optional<std::uint64_t> last_event_id;
  /// The id of the caller's attempt that brought the first event of the stream
  /// that this one resumes; empty if it names none.
  std::string resumed_attempt;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  /// The caller's own estimate of the output tokens; zero if it gave none.
  std::uint32_t output_estimate = 0;
  /// The parts of the prompt in order, without the last one, which is the
  /// request's own.
  std::vector<SuspectId> shared_parts;
  std::string credentials;  ///< That the caller sent; may be empty.
  PresentedKey key;         ///< That the caller sent.
  /// `prompt_tokens` and `max_output_tokens` were both stated.
  bool has_token_counts = false;
  /// The account of the request, in the list that it arrived under; null if it
  /// needs none.
  const ClientAccount* account = nullptr;
  /// What the request counts as in its account's quota, in the quota's unit.
  std::uint64_t quota_amount = 0;
};

/// The properties of a response's head that forwarding depends on.
struct ResponseFacts {
  int status = 0;
  bool proven_not_run = false;  ///< The server states that it ran nothing.
  bool wrong_server = false;    ///< From another server than the intended one.
  bool authentic = false;       ///< Carries the mark of a backend server.
  bool leaving = false;         ///< The server accepts no new requests.
  /// Time for which the server, which refused, wants nothing from this host.
  std::optional<Duration> wants_pause;
  /// Requests per second that the server takes from all hosts together;
  /// kNoRateLimit if it names no limit, nullopt if the response doesn't tell.
  std::optional<double> rate_limit;
};

/// Which part of a request a server is asked to run.
enum class SendPart {
  kWhole,    ///< The whole request; after a prefill, the decode stage.
  kPrefill,  ///< Only the prefill of the prompt into a KV cache.
};

/// Sends the request to `server`.
struct SendToServer {
  AttemptNumber attempt = 0;
  ServerRecord server;
  /// The entry host that passes the request on, by where it receives frames;
  /// nullopt if this host sends it to the server itself.
  std::optional<Endpoint> relay;
  SendPart part = SendPart::kWhole;
  std::string kv_source;  ///< Address of the prompt's KV cache; may be empty.
  std::optional<std::uint64_t> last_event_id;
  Duration time_left = Duration::zero();
  unsigned rank = 0;  ///< For engines.
  /// The account of the request; null if it needs none.
  const ClientAccount* account = nullptr;
  /// The list of routes has accounts: the server gets neither the caller's key
  /// nor an account that the caller named.
  bool has_accounts = false;
  /// The request may only use a connection that is almost certainly open,
  /// because it must not be repeated.
  bool needs_fresh_connection = false;
};

/// Closes the connection of an attempt whose response is no longer needed.
struct WithdrawAttempt {
  AttemptNumber attempt = 0;
};

/// Sends the caller the head of the response to `attempt` and `body`.
struct SendResponse {
  AttemptNumber attempt = 0;
  std::string body;
};

/// Starts the caller's stream with the head of the response to `attempt`.
struct SendStreamHead {
  AttemptNumber attempt = 0;
};

/// Sends the caller complete events of its stream.
struct SendStreamBytes {
  std::string bytes;
};

/// Ends the caller's stream as complete.
struct EndStream {};

/// Breaks the caller's connection, so that its stream does not look complete.
struct AbortStream {};

/// Sends the caller a response that no backend server gave. Status 503 states
/// that the request has not run.
struct SendOwnResponse {
  int status = 503;
  std::string_view reason;
  std::optional<Duration> retry_after;
};

/// Checks whether a server still accepts connections. The result reaches the
/// server pool, and ForwardFlow::OnServerDown() if it does not.
struct CheckServer {
  ServerRecord server;
};

/// Asks the owner of the engines to place the request. The answer reaches
/// ForwardFlow::OnPlacement().
struct AskForPlacement {
  ModelDemand demand;
  std::vector<ServerIncarnation> excluded;  ///< Engines tried before.
  /// The request waits already and keeps its place in the order.
  bool is_repeat = false;
};

/// Asks the control hosts at which version `stream` began. The answer reaches
/// ForwardFlow::OnStreamOrigin().
struct AskForStreamOrigin {
  StreamId stream;
};

/// Asks for what the request needs of its account's quota. The answer reaches
/// ForwardFlow::OnQuota().
struct AskForQuota {
  CustomerId account;
  AccountQuota quota;
  std::uint64_t amount = 0;
  TimePoint latest;  ///< Until when the request may wait for it.
};

/// Asks the scheduler of the service for a slot of one of its servers. The
/// answer reaches ForwardFlow::OnSlot().
struct AskForSlot {
  SlotDemand demand;
};

/// Gives the slot of the attempt that ended back to its scheduler.
struct ReleaseSlot {
  SlotOutcome outcome = SlotOutcome::kServed;
};

/// Logs the end of an attempt.
struct LogAttempt {
  AttemptNumber attempt = 0;
  BackendServerId server;
  AttemptOutcome outcome = AttemptOutcome::kServed;
  bool ejected = false;
  std::string_view detail;  ///< What ended the attempt.
  Duration took = Duration::zero();
};

using ForwardCommand = std::variant<SendToServer,
                                    WithdrawAttempt,
                                    SendResponse,
                                    SendStreamHead,
                                    SendStreamBytes,
                                    EndStream,
                                    AbortStream,
                                    SendOwnResponse,
                                    CheckServer,
                                    AskForPlacement,
                                    AskForStreamOrigin,
                                    AskForQuota,
                                    AskForSlot,
                                    ReleaseSlot,
                                    LogAttempt>;

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_FORWARD_COMMAND_H_
