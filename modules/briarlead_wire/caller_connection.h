#ifndef BRIARLEAD_WIRE_CALLER_CONNECTION_H_
#define BRIARLEAD_WIRE_CALLER_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "briarlead_core/time.h"
#include "briarlead_wire/memory_budget.h"
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

/// Returns the limits of a port whose requests need no body.
inline CallerLimits LimitsWithoutBody() {
  CallerLimits limits;
  limits.message = {8192, 1024, 64};
  return limits;
}

/// The body of a response of our own, with the fields that describe it.
struct OwnBody {
  HeaderFields fields;
  std::string text;
};

/// Whether a connection can be closed to make room, the first choice first.
enum class Closability {
  kIdle,        ///< No byte of a request has come.
  kPartial,     ///< A part of a request has come: it has not run.
  kUnread,      ///< The caller takes nothing of a response that is whole here.
  kInProgress,  ///< Not at all.
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
    /// Reading of a body is paused for lack of memory: Resume() is due soon.
    std::function<void()> on_paused;
    /// Returns the body of the answer to a request that isn't taken.
    std::function<OwnBody(int status)> write_refusal;
    /// The connection is over; destroy it.
    std::function<void()> on_closed;
  };

  CallerConnection(ObjectPtr<GSocket> socket,
                   const CallerLimits& limits,
                   MemoryBudget& budget,
                   Handlers handlers,
                   TimePoint now);
  ~CallerConnection();

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
  /// As above, without a copy of a body that isn't sent in chunks.
  void SendBody(std::shared_ptr<const std::string> bytes);
  void Finish(TimePoint now);
  /// Ends the connection, so that the response doesn't look complete. What was
  /// written before still leaves where that is safe.
  void Abort();

  /// Whether the connection is kept after the next response.
  void SetKeeping(bool keeps) { keeps_ = keeps; }
  /// Closes the connection if no byte of a request has come.
  void CloseIfIdle();
  /// Ends the connection when the caller has been slow or idle for too long.
  void CheckTimeouts(TimePoint now);

  /// Reads on if there is memory for the body now, or refuses the request after
  /// a time. Returns whether reading is still paused.
  bool Resume(TimePoint now);
  /// Returns whether the connection can be closed to make room, and since when
  /// it has been so.
  [[nodiscard]] std::pair<Closability, TimePoint> closability(
      TimePoint now) const;
  /// Ends the connection at once, to make room.
  void Drop();

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
  /// Returns whether the request whose head has come may be read on.
  bool Admit();
  /// Returns how many bytes of the body are to be counted now.
  [[nodiscard]] std::size_t WantedBytes() const;
  void EndPause();
  void Refuse(int status);
  /// Stops reading while more waits than is needed, or resumes it.
  void UpdateReading();
  /// Counts what this connection holds.
  void UpdateAccounts();
  void EndResponse(TimePoint now);
  void Close();
  /// Whether the caller has taken nothing of what waits for too long.
  bool IsStuck(TimePoint now);

  CallerLimits limits_;
  Handlers handlers_;
  MemoryBudget& budget_;
  MemoryAccount connection_account_;
  MemoryAccount request_account_;
  MemoryAccount unsent_account_;
  std::unique_ptr<RequestParser> parser_;
  std::string unread_;
  std::size_t head_bytes_ = 0;      ///< Of the request that is read.
  std::size_t reserved_bytes_ = 0;  ///< For its body.
  std::uint64_t wait_ticket_ = 0;   ///< While reading is paused.
  TimePoint paused_since_;
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
