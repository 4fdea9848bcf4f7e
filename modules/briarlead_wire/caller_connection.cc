#include "briarlead_wire/caller_connection.h"

#include <algorithm>
#include <utility>

namespace briarlead {

namespace {

/// Bytes of further requests that may wait behind the one being served.
constexpr std::size_t kMaxWaitingRequestBytes = 16384;
/// Bytes of responses that may wait for a caller that sends further requests.
constexpr std::size_t kMaxWaitingResponseBytes = 65536;
/// How long a closed connection waits for its peer to close, too.
constexpr Duration kLingerTimeout = std::chrono::milliseconds(1000);

/// Memory of a connection without what has come on it.
constexpr std::size_t kConnectionBytes = 3072;
/// Buffer that a connection keeps when it is empty.
constexpr std::size_t kKeptBytes = 1024;
/// A body in chunks is counted in steps, the first of which is this.
constexpr std::size_t kFirstBodyBytes = 16384;
/// A caller that has taken nothing of its response for this long may be closed
/// for lack of memory.
constexpr Duration kUnreadBeforeDrop = std::chrono::milliseconds(1000);

constexpr int kRequestTimeout = 408;
constexpr int kUnavailable = 503;
/// When a request that was refused for lack of memory may be sent again, in
/// seconds.
constexpr std::string_view kRetryAfter = "1";

std::size_t MemoryOf(const RequestHead& head) {
  std::size_t bytes = head.target.capacity();
  for (const HeaderField& it : head.fields.items())
    bytes += sizeof(it) + it.name.size() + it.value.size();
  return bytes;
}

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
                                   MemoryBudget& budget,
                                   Handlers handlers,
                                   TimePoint now)
    : limits_(limits),
      handlers_(std::move(handlers)),
      budget_(budget),
      connection_account_(&budget, MemoryKind::kConnections),
      request_account_(&budget, MemoryKind::kRequests),
      unsent_account_(&budget, MemoryKind::kUnsent),
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
  UpdateAccounts();
}

CallerConnection::~CallerConnection() {
  EndPause();
}

void CallerConnection::OnBytes(std::string_view bytes) {
  if (closing_)
    return;
  unread_.append(bytes);
  ParseNext();
}

void CallerConnection::UpdateReading() {
  const bool waits = unread_.size() > kMaxWaitingRequestBytes &&
                     (serving_ || waiting_bytes() >= kMaxWaitingResponseBytes);
  stream_->SetReading(closing_ || (wait_ticket_ == 0 && !waits));
}

void CallerConnection::UpdateAccounts() {
  if (unread_.empty() && unread_.capacity() > kKeptBytes)
    unread_ = {};
  connection_account_.Set(kConnectionBytes + unread_.capacity());
  unsent_account_.Set(stream_->held_bytes() + stream_->shared_bytes());
  if (!serving_ && head_bytes_ > 0) {
    request_account_.Set(head_bytes_ +
                         std::max(reserved_bytes_, parser_->body().capacity()));
  }
}

void CallerConnection::ParseNext() {
  // A request that is answered at once comes back here: the loop goes on.
  if (parsing_)
    return;
  parsing_ = true;
  bool goes_on = true;
  while (goes_on && !serving_ && !closing_ && wait_ticket_ == 0 &&
         !unread_.empty() && waiting_bytes() < kMaxWaitingResponseBytes) {
    goes_on = ParseOne();
  }
  parsing_ = false;
  UpdateReading();
  UpdateAccounts();
}

bool CallerConnection::ParseOne() {
  const std::size_t n = parser_->Feed(unread_);
  unread_.erase(0, n);
  switch (parser_->state()) {
    case ParseState::kHead:
      return false;
    case ParseState::kBody:
      if (!Admit())
        return false;
      if (parser_->expects_continue() && !continued_) {
        continued_ = true;
        stream_->Write("HTTP/1.1 100 Continue\r\n\r\n");
      }
      return false;
    case ParseState::kComplete:
      if (!Admit())
        return false;
      break;
    case ParseState::kInvalid:
    case ParseState::kHeadTooLarge:
    case ParseState::kBodyTooLarge:
      Refuse(StatusOf(parser_->state()));
      return false;
  }
  UpdateAccounts();
  serving_ = true;
  served_ = true;
  head_since_.reset();
  request_keeps_ = parser_->head().keeps_connection;
  takes_chunks_ = parser_->head().takes_chunks;
  handlers_.on_request(parser_->head(), parser_->body());
  return true;
}

std::size_t CallerConnection::WantedBytes() const {
  const auto length = parser_->content_length();
  if (length.has_value())
    return static_cast<std::size_t>(*length);
  const std::size_t next = parser_->body().size() + kFirstBodyBytes;
  if (next <= reserved_bytes_)
    return reserved_bytes_;
  return std::max(next, 2 * reserved_bytes_);
}

bool CallerConnection::Admit() {
  if (head_bytes_ == 0)
    head_bytes_ = MemoryOf(parser_->head());
  const std::size_t wanted = WantedBytes();
  const bool is_large = wanted > MemoryBudget::kSmallBodyBytes;
  if (is_large && wanted <= reserved_bytes_)
    return true;
  const bool waits = wait_ticket_ != 0;
  const Duration waited = waits ? last_now_ - paused_since_ : Duration::zero();
  switch (budget_.OnBody(reserved_bytes_, wanted, wait_ticket_, waited)) {
    case BodyDecision::kRead:
      break;
    case BodyDecision::kPause:
      // All of it is here.
      if (parser_->state() == ParseState::kComplete)
        return true;
      if (!waits) {
        wait_ticket_ = budget_.Wait();
        paused_since_ = last_now_;
        handlers_.on_paused();
      }
      return false;
    case BodyDecision::kRefuse:
      budget_.CountRefusal(is_large ? MemoryRefusal::kLargeBody
                                    : MemoryRefusal::kRequest);
      Refuse(kUnavailable);
      return false;
  }
  EndPause();
  if (is_large) {
    reserved_bytes_ = wanted;
    parser_->body().reserve(wanted);
    UpdateAccounts();
  } else if (!parser_->content_length().has_value()) {
    reserved_bytes_ = wanted;
  }
  return true;
}

void CallerConnection::EndPause() {
  if (wait_ticket_ != 0)
    budget_.EndWait(std::exchange(wait_ticket_, 0));
}

bool CallerConnection::Resume(TimePoint now) {
  last_now_ = now;
  if (wait_ticket_ == 0 || closing_ || !Admit())
    return wait_ticket_ != 0;
  // The time of the pause isn't the caller's.
  head_since_.reset();
  ParseNext();
  return wait_ticket_ != 0;
}

std::pair<Closability, TimePoint> CallerConnection::closability(
    TimePoint now) const {
  if (serving_)
    return {Closability::kInProgress, now};
  if (waiting_bytes() > 0) {
    return {now - taken_at_ >= kUnreadBeforeDrop ? Closability::kUnread
                                                 : Closability::kInProgress,
            taken_at_};
  }
  const bool has_begun =
      !unread_.empty() || parser_->state() != ParseState::kHead;
  if (has_begun && !closing_)
    return {Closability::kPartial, head_since_.value_or(now)};
  return {Closability::kIdle, since_};
}

void CallerConnection::Drop() {
  closing_ = true;
  EndPause();
  connection_account_.Set(0);
  request_account_.Set(0);
  unsent_account_.Set(0);
  handlers_.on_closed();
}

void CallerConnection::Refuse(int status) {
  EndPause();
  serving_ = true;
  request_keeps_ = false;
  OwnBody body = handlers_.write_refusal(status);
  if (status == kUnavailable)
    body.fields.Add("Retry-After", kRetryAfter);
  // What has come of the request goes at once: the connection may linger.
  parser_ = std::make_unique<RequestParser>(limits_.message);
  unread_ = {};
  Respond(status, body.fields, body.text, last_now_);
}

void CallerConnection::OnEnd(StreamEnd end) {
  closing_ = true;
  EndPause();
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
  UpdateAccounts();
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
  // Until it is whole, it must not look so, whatever ends the connection.
  if (framing_ == BodyFraming::kUntilClose)
    stream_->ResetOnClose();
  stream_->Write(WriteResponseHead(status, reason, fields, framing_,
                                   length.value_or(0), !closes_));
  UpdateAccounts();
}

void CallerConnection::SendBody(std::string_view bytes) {
  if (framing_ == BodyFraming::kChunked)
    stream_->Write(WriteChunk(bytes));
  else
    stream_->Write(bytes);
  UpdateAccounts();
}

void CallerConnection::SendBody(std::shared_ptr<const std::string> bytes) {
  if (framing_ == BodyFraming::kChunked)
    return SendBody(std::string_view{*bytes});
  stream_->Write(std::move(bytes));
  UpdateAccounts();
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
  head_bytes_ = 0;
  reserved_bytes_ = 0;
  request_account_.Set(0);
  if (closes_) {
    Close();
    return;
  }
  parser_ = std::make_unique<RequestParser>(limits_.message);
  ParseNext();
  UpdateReading();
  UpdateAccounts();
}

void CallerConnection::Close() {
  closing_ = true;
  since_ = last_now_;
  unread_ = {};
  stream_->SetReading(true);
  stream_->CloseWhenDrained();
  UpdateAccounts();
}

void CallerConnection::Abort() {
  serving_ = false;
  // The caller gets what waits, unless only a reset can tell it that this isn't
  // all.
  if (waiting_bytes() > 0 && framing_ != BodyFraming::kUntilClose) {
    Close();
    return;
  }
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
  UpdateAccounts();
  if (IsStuck(now)) {
    OnEnd(StreamEnd::kBroken);
    return;
  }
  if (closing_) {
    if (waiting_bytes() == 0 && now - since_ >= kLingerTimeout)
      handlers_.on_closed();
    return;
  }
  if (serving_ || wait_ticket_ != 0) {
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
