#include "briarlead_wire/caller_connection.h"

#include <utility>

namespace briarlead {

namespace {

/// Bytes of further requests that may wait behind the one being served.
constexpr std::size_t kMaxWaitingRequestBytes = 65536;
/// Bytes of responses that may wait for a caller that sends further requests.
constexpr std::size_t kMaxWaitingResponseBytes = 65536;
/// How long a closed connection waits for its peer to close, too.
constexpr Duration kLingerTimeout = std::chrono::milliseconds(1000);

constexpr int kRequestTimeout = 408;

int StatusOf(ParseState state) {
  switch (state) {
    case ParseState::kHeadTooLarge:
      return 431;
    case ParseState::kBodyTooLarge:
      return 413;
    default:
      return 400;
  }
}

}  // namespace

CallerConnection::CallerConnection(ObjectPtr<GSocket> socket,
                                   const CallerLimits& limits,
                                   Handlers handlers,
                                   TimePoint now)
    : limits_(limits),
      handlers_(std::move(handlers)),
      parser_(std::make_unique<RequestParser>(limits.message)),
      since_(now),
      last_now_(now),
      taken_at_(now) {
  TcpStream::Handlers stream_handlers;
  stream_handlers.on_bytes = [this](std::string_view it) { OnBytes(it); };
  stream_handlers.on_end = [this](StreamEnd it) { OnEnd(it); };
  stream_handlers.on_drained = [this] { OnDrained(); };
  stream_ = TcpStream::Adopt(std::move(socket), std::move(stream_handlers),
                             limits.unacknowledged_timeout);
}

void CallerConnection::OnBytes(std::string_view bytes) {
  if (closing_)
    return;
  unread_.append(bytes);
  if (serving_) {
    if (unread_.size() > kMaxWaitingRequestBytes)
      stream_->SetReading(false);
    return;
  }
  ParseNext();
}

void CallerConnection::ParseNext() {
  // A request that is answered at once comes back here: the loop goes on.
  if (parsing_)
    return;
  parsing_ = true;
  bool goes_on = true;
  while (goes_on && !serving_ && !closing_ && !unread_.empty() &&
         waiting_bytes() < kMaxWaitingResponseBytes) {
    goes_on = ParseOne();
  }
  parsing_ = false;
}

bool CallerConnection::ParseOne() {
  const std::size_t n = parser_->Feed(unread_);
  unread_.erase(0, n);
  switch (parser_->state()) {
    case ParseState::kHead:
      return false;
    case ParseState::kBody:
      if (parser_->expects_continue() && !continued_) {
        continued_ = true;
        stream_->Write("HTTP/1.1 100 Continue\r\n\r\n");
      }
      return false;
    case ParseState::kComplete:
      break;
    case ParseState::kInvalid:
    case ParseState::kHeadTooLarge:
    case ParseState::kBodyTooLarge:
      Refuse(StatusOf(parser_->state()));
      return false;
  }
  serving_ = true;
  served_ = true;
  head_since_.reset();
  request_keeps_ = parser_->head().keeps_connection;
  takes_chunks_ = parser_->head().takes_chunks;
  handlers_.on_request(parser_->head(), parser_->body());
  return true;
}

void CallerConnection::Refuse(int status) {
  serving_ = true;
  request_keeps_ = false;
  const OwnBody body = handlers_.write_refusal(status);
  Respond(status, body.fields, body.text, last_now_);
}

void CallerConnection::OnEnd(StreamEnd end) {
  closing_ = true;
  peer_closed_ = true;
  if (std::exchange(serving_, false)) {
    handlers_.on_gone();
  } else if (end == StreamEnd::kOrderly && waiting_bytes() > 0) {
    // It may have closed only its sending side: the rest still leaves.
    return;
  }
  handlers_.on_closed();
}

void CallerConnection::OnDrained() {
  since_ = last_now_;
  if (serving_)
    handlers_.on_drained();
  else if (peer_closed_)
    handlers_.on_closed();
  else
    ParseNext();
}

void CallerConnection::Respond(int status,
                               const HeaderFields& fields,
                               std::string_view body,
                               TimePoint now) {
  closes_ = !keeps_ || !request_keeps_;
  // In one piece: each write leaves by itself.
  std::string bytes =
      WriteResponseHead(status, ReasonOf(status), fields, BodyFraming::kLength,
                        body.size(), !closes_);
  bytes += body;
  stream_->Write(bytes);
  EndResponse(now);
}

void CallerConnection::SendHead(int status,
                                std::string_view reason,
                                const HeaderFields& fields,
                                std::optional<std::uint64_t> length) {
  framing_ = BodyFraming::kLength;
  if (!length.has_value())
    framing_ = takes_chunks_ ? BodyFraming::kChunked : BodyFraming::kUntilClose;
  closes_ = !keeps_ || !request_keeps_ || framing_ == BodyFraming::kUntilClose;
  stream_->Write(WriteResponseHead(status, reason, fields, framing_,
                                   length.value_or(0), !closes_));
}

void CallerConnection::SendBody(std::string_view bytes) {
  if (framing_ == BodyFraming::kChunked)
    stream_->Write(WriteChunk(bytes));
  else
    stream_->Write(bytes);
}

void CallerConnection::Finish(TimePoint now) {
  if (framing_ == BodyFraming::kChunked)
    stream_->Write(kLastChunk);
  EndResponse(now);
}

void CallerConnection::EndResponse(TimePoint now) {
  serving_ = false;
  since_ = now;
  last_now_ = now;
  continued_ = false;
  if (closes_) {
    Close();
    return;
  }
  parser_ = std::make_unique<RequestParser>(limits_.message);
  stream_->SetReading(true);
  ParseNext();
}

void CallerConnection::Close() {
  closing_ = true;
  since_ = last_now_;
  stream_->SetReading(true);
  stream_->CloseWhenDrained();
}

void CallerConnection::Abort() {
  serving_ = false;
  closing_ = true;
  handlers_.on_closed();
}

void CallerConnection::CloseIfIdle() {
  if (serving_ || closing_ || !unread_.empty() ||
      parser_->state() != ParseState::kHead) {
    return;
  }
  Close();
}

bool CallerConnection::IsStuck(TimePoint now) {
  const std::uint64_t taken = stream_->taken_bytes();
  if (waiting_bytes() == 0 || taken != taken_bytes_) {
    taken_bytes_ = taken;
    taken_at_ = now;
    return false;
  }
  return now - taken_at_ >= limits_.unread_timeout;
}

void CallerConnection::CheckTimeouts(TimePoint now) {
  last_now_ = now;
  if (IsStuck(now)) {
    OnEnd(StreamEnd::kBroken);
    return;
  }
  if (closing_) {
    if (waiting_bytes() == 0 && now - since_ >= kLingerTimeout)
      handlers_.on_closed();
    return;
  }
  if (serving_) {
    head_since_.reset();
    return;
  }
  const bool has_begun =
      !unread_.empty() || parser_->state() != ParseState::kHead;
  if (!has_begun) {
    head_since_.reset();
    if (now - since_ < limits_.idle_timeout)
      return;
    if (limits_.tells_first_timeout && !served_)
      Refuse(kRequestTimeout);
    else
      Close();
    return;
  }
  if (!head_since_.has_value()) {
    head_since_ = now;
    return;
  }
  if (now - *head_since_ >= limits_.head_timeout)
    Refuse(kRequestTimeout);
}

}  // namespace briarlead
