#ifndef BRIARLEAD_WIRE_UPSTREAM_CONNECTION_H_
#define BRIARLEAD_WIRE_UPSTREAM_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/time.h"
#include "briarlead_net/glib_handles.h"
#include "briarlead_wire/message_parser.h"
#include "briarlead_wire/tcp_stream.h"

namespace briarlead {

/// Why a call to a backend server brought no complete response.
enum class UpstreamFailure {
  kNotConnected,  ///< No connection; not a byte of the request was sent.
  kClosed,        ///< The server closed before the response was complete.
  kBroken,        ///< The connection was reset or failed.
  kNotHttp,       ///< The server sent bytes that are no response.
};

/// Returns the name of `failure` as it appears in logs.
std::string_view ToString(UpstreamFailure failure);

/// Whose response a head on a connection begins.
enum class ResponseMatch {
  kOwn,       ///< The call's.
  kUnmarked,  ///< It names no request.
  kOther,     ///< Another request's.
};

/// What the owner of a call is told. The handlers may destroy the call.
struct UpstreamHandlers {
  /// A new connection is there, the request leaves now; may be empty. Not
  /// called where a kept connection is used.
  std::function<void()> on_connected;
  /// Whether a response belongs to this call; others are dropped. One that
  /// names no request belongs to it only if the connection carried no call
  /// before: else it may be an earlier response, written once more.
  std::function<ResponseMatch(const ResponseHead& head)> match;
  /// The head of a response that is dropped, of the same server; may be empty.
  /// Must not destroy the call.
  std::function<void(const ResponseHead& head)> on_dropped;
  std::function<void(ResponseHead& head)> on_head;
  std::function<void(std::string_view bytes)> on_body;
  std::function<void()> on_complete;
  std::function<void(UpstreamFailure failure)> on_failure;
};

/// One connection to a backend server; it carries one call at a time.
class UpstreamConnection {
 public:
  UpstreamConnection(const Endpoint& server, Duration connect_timeout);
  ~UpstreamConnection();

  /// Sends `request`, which is named `name`, then `body`, which may be null,
  /// and tells `handlers` what comes. Only while idle.
  void Start(std::string_view request,
             std::shared_ptr<const std::string> body,
             std::string_view name,
             UpstreamHandlers handlers);
  /// Returns whether a call named `name` was sent on this connection. A second
  /// response to it could not be told from the response to the next such call.
  [[nodiscard]] bool HasCarried(std::string_view name) const;

  /// Ends the call, whose response isn't wanted any more: closes the sending
  /// side, by which the server learns so, and reads on for a response that is
  /// on its way. `on_dropped` is told its head. Returns false, and does
  /// nothing, if the request hasn't left or its response has begun.
  bool Withdraw(std::function<void(const ResponseHead& head)> on_dropped);
  /// Ends the call at once: no handler is called any more.
  void Abandon();
  /// Returns whether nothing more is expected after Withdraw().
  [[nodiscard]] bool withdrawal_ended() const { return broken_ && !in_call_; }

  /// Stops or resumes reading; what was read before is still told.
  void SetReading(bool reading) { stream_->SetReading(reading); }

  /// Returns whether the last call ended so that another may follow.
  [[nodiscard]] bool reusable() const {
    return !broken_ && !in_call_ && served_;
  }
  /// Returns whether it is reusable and the server has said nothing since.
  [[nodiscard]] bool IsIntact() const {
    return reusable() && stream_->IsQuiet();
  }
  /// Returns whether it is there; until then no byte of a request has left.
  [[nodiscard]] bool connected() const { return connected_; }
  /// Returns how long the server keeps the connection idle; zero if it didn't
  /// say.
  [[nodiscard]] Duration stated_idle_time() const { return stated_idle_; }

 private:
  void OnConnected();
  void OnBytes(std::string_view bytes);
  void OnEnd(StreamEnd end);
  /// Completes a response whose body ends with the connection, unless that has
  /// failed.
  void EndBody();
  /// Handles what the parser has found; false when the call is over.
  bool Progress();
  void CompleteCall();
  void FailCall(UpstreamFailure failure);
  /// Returns whether the response that `head` begins is that of the call.
  [[nodiscard]] bool IsOwn(const ResponseHead& head) const;

  UpstreamHandlers handlers_;
  /// Hashes of the names of the calls that were sent, the latest last.
  std::deque<std::size_t> carried_;
  bool is_first_call_ = true;
  std::unique_ptr<ResponseParser> parser_;
  std::string unread_;
  ResponseBody expected_body_ = ResponseBody::kAsFramed;
  bool connected_ = false;
  bool in_call_ = false;
  bool head_told_ = false;
  bool own_response_ = false;
  bool withdrawn_ = false;
  /// Bytes of the call that came before its own body.
  std::uint64_t preceding_bytes_ = 0;
  bool broken_ = false;
  bool served_ = false;
  Duration stated_idle_ = Duration::zero();
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  SourceHandle end_timer_;  ///< Runs while a reset may follow the end.
  std::unique_ptr<TcpStream> stream_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_WIRE_UPSTREAM_CONNECTION_H_
