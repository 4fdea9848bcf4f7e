#ifndef BRIARLEAD_WIRE_CALLER_CONNECTION_H_
#define BRIARLEAD_WIRE_CALLER_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "briarlead_core/time.h"
#include "briarlead_wire/message_parser.h"
#include "briarlead_wire/tcp_stream.h"

namespace briarlead {

/// Bounds on what a caller may send and how long it may take.
struct CallerLimits {
  MessageLimits message;
  /// From the first byte of a request until it is complete.
  Duration head_timeout = std::chrono::milliseconds(3000);
  /// Without a byte of a request.
  Duration idle_timeout = std::chrono::milliseconds(15000);
  /// Without taking a byte of what waits for the caller.
  Duration unread_timeout = std::chrono::seconds(10);
  /// As of TcpStream::Adopt().
  Duration unacknowledged_timeout = kUnacknowledgedTimeout;
  /// Answers 408 before it closes a connection that never brought a request.
  bool tells_first_timeout = false;
};

/// The body of a response of our own, with the fields that describe it.
struct OwnBody {
  HeaderFields fields;
  std::string text;
};

/// One kept connection of a caller. It serves one request at a time; what the
/// caller sends meanwhile waits.
class CallerConnection {
 public:
  struct Handlers {
    /// A request is complete; it is answered by the methods below.
    std::function<void(RequestHead& head, std::string& body)> on_request;
    /// The caller went before its response was complete here.
    std::function<void()> on_gone;
    /// What waited of the response in progress is on its way.
    std::function<void()> on_drained;
    /// Returns the body of the answer to a request that isn't taken.
    std::function<OwnBody(int status)> write_refusal;
    /// The connection is over; destroy it.
    std::function<void()> on_closed;
  };

  CallerConnection(ObjectPtr<GSocket> socket,
                   const CallerLimits& limits,
                   Handlers handlers,
                   TimePoint now);

  /// Answers the request in progress with a whole response.
  void Respond(int status,
               const HeaderFields& fields,
               std::string_view body,
               TimePoint now);
  /// Begins a response in parts. Without `length` it is sent in chunks, or to
  /// the end of the connection where the caller takes no chunks.
  void SendHead(int status,
                std::string_view reason,
                const HeaderFields& fields,
                std::optional<std::uint64_t> length);
  void SendBody(std::string_view bytes);
  void Finish(TimePoint now);
  /// Ends the connection, so that the response doesn't look complete.
  void Abort();

  /// Whether the connection is kept after the next response.
  void SetKeeping(bool keeps) { keeps_ = keeps; }
  /// Closes the connection if no byte of a request has come.
  void CloseIfIdle();
  /// Ends the connection when the caller has been slow or idle for too long.
  void CheckTimeouts(TimePoint now);

  [[nodiscard]] bool serving() const { return serving_; }
  [[nodiscard]] std::size_t waiting_bytes() const {
    return stream_->waiting_bytes();
  }

 private:
  void OnBytes(std::string_view bytes);
  void OnEnd(StreamEnd end);
  void OnDrained();
  /// Hands out requests as far as they have come and may be handed out.
  void ParseNext();
  /// Parses on; returns whether a request was handed out.
  bool ParseOne();
  void Refuse(int status);
  void EndResponse(TimePoint now);
  void Close();
  /// Whether the caller has taken nothing of what waits for too long.
  bool IsStuck(TimePoint now);

  CallerLimits limits_;
  Handlers handlers_;
  std::unique_ptr<RequestParser> parser_;
  std::string unread_;
  bool serving_ = false;
  bool served_ = false;
  bool parsing_ = false;
  bool keeps_ = true;
  bool closes_ = false;  ///< After the response in progress.
  bool closing_ = false;
  bool peer_closed_ = false;
  BodyFraming framing_ = BodyFraming::kLength;
  bool request_keeps_ = true;
  bool takes_chunks_ = true;
  bool continued_ = false;
  TimePoint since_;  ///< When the connection last became idle or closing.
  std::optional<TimePoint> head_since_;
  TimePoint last_now_;
  std::uint64_t taken_bytes_ = 0;  ///< By the caller, at `taken_at_`.
  TimePoint taken_at_;
  std::unique_ptr<TcpStream> stream_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_WIRE_CALLER_CONNECTION_H_
