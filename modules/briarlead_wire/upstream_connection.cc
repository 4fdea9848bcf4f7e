#include "briarlead_wire/upstream_connection.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <limits>
#include <utility>

namespace briarlead {

namespace {

constexpr MessageLimits kResponseLimits = {
    65536, std::numeric_limits<std::uint64_t>::max() / 2};

/// Longest framing (a chunk's header, a trailer) that is read before the call
/// fails, in bytes. Heads have a limit of their own.
constexpr std::size_t kMaxUnreadBytes = 65536;
/// Largest total of what precedes the call's own body, in bytes: interim
/// responses, responses to other requests, heads.
constexpr std::uint64_t kMaxPrecedingBytes = 1U << 20;

/// How long a reset may take to follow an end, in milliseconds: the time there
/// and back between data centres.
constexpr guint kResetWaitMs = 100;

/// Names of calls that a connection remembers.
constexpr std::size_t kMaxCarriedNames = 32;

constexpr std::string_view kTimeoutParameter = "timeout=";
constexpr std::string_view kHeadMethod = "HEAD ";

/// Returns N of "timeout=N" in a Keep-Alive field; zero if there is none.
Duration ReadKeepAlive(const ResponseHead& head) {
  const auto value = head.fields.Find("Keep-Alive");
  if (!value.has_value())
    return Duration::zero();
  const std::size_t at = value->find(kTimeoutParameter);
  if (at == std::string_view::npos)
    return Duration::zero();
  const std::string_view digits = value->substr(at + kTimeoutParameter.size());
  int seconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return std::chrono::seconds(seconds);
}

bool IsInterim(const ResponseHead& head) {
  return head.status >= 100 && head.status < 200;
}

}  // namespace

std::string_view ToString(UpstreamFailure failure) {
  switch (failure) {
    case UpstreamFailure::kNotConnected:
      return "not_connected";
    case UpstreamFailure::kClosed:
      return "closed";
    case UpstreamFailure::kBroken:
      return "broken";
    case UpstreamFailure::kNotHttp:
      return "not_http";
  }
  return "unknown";
}

UpstreamConnection::UpstreamConnection(const Endpoint& server,
                                       Duration connect_timeout) {
  TcpStream::Handlers handlers;
  handlers.on_connected = [this] { OnConnected(); };
  handlers.on_bytes = [this](std::string_view it) { OnBytes(it); };
  handlers.on_end = [this](StreamEnd it) { OnEnd(it); };
  stream_ = TcpStream::Connect(server, connect_timeout, std::move(handlers));
}

UpstreamConnection::~UpstreamConnection() {
  *alive_ = false;
}

void UpstreamConnection::Start(std::string_view request,
                               std::shared_ptr<const std::string> body,
                               std::string_view name,
                               UpstreamHandlers handlers) {
  is_first_call_ = !served_;
  if (!name.empty())
    carried_.push_back(std::hash<std::string_view>()(name));
  if (carried_.size() > kMaxCarriedNames)
    carried_.pop_front();
  handlers_ = std::move(handlers);
  expected_body_ = request.starts_with(kHeadMethod) ? ResponseBody::kNone
                                                    : ResponseBody::kAsFramed;
  parser_ = std::make_unique<ResponseParser>(kResponseLimits, expected_body_);
  in_call_ = true;
  head_told_ = false;
  own_response_ = false;
  preceding_bytes_ = 0;
  stream_->Write(request);
  if (body)
    stream_->Write(std::move(body));
}

bool UpstreamConnection::Withdraw(
    std::function<void(const ResponseHead& head)> on_dropped) {
  if (!in_call_ || !connected_ || own_response_)
    return false;
  handlers_ = {};
  handlers_.on_dropped = std::move(on_dropped);
  withdrawn_ = true;
  stream_->CloseSending();
  return true;
}

void UpstreamConnection::Abandon() {
  if (!in_call_)
    return;
  // The handlers stay: one of them may be on the call stack.
  end_timer_.Reset();
  in_call_ = false;
  broken_ = true;
}

bool UpstreamConnection::HasCarried(std::string_view name) const {
  return std::find(carried_.begin(), carried_.end(),
                   std::hash<std::string_view>()(name)) != carried_.end();
}

bool UpstreamConnection::IsOwn(const ResponseHead& head) const {
  if (IsInterim(head) || withdrawn_)
    return false;
  const ResponseMatch match = handlers_.match(head);
  return match == ResponseMatch::kOwn ||
         (match == ResponseMatch::kUnmarked && is_first_call_);
}

void UpstreamConnection::OnConnected() {
  connected_ = true;
  // A copy: the handler may destroy the call.
  const std::function<void()> handler = handlers_.on_connected;
  if (in_call_ && handler)
    handler();
}

void UpstreamConnection::OnBytes(std::string_view bytes) {
  if (!in_call_) {
    // Nothing was asked for: what comes belongs to no call.
    broken_ = true;
    return;
  }
  unread_.append(bytes);
  const std::shared_ptr<bool> alive = alive_;
  while (*alive && in_call_ && !unread_.empty()) {
    const std::size_t n = parser_->Feed(unread_);
    unread_.erase(0, n);
    preceding_bytes_ += own_response_ ? 0 : n;
    if (!Progress())
      return;
    const bool framing_too_long = n == 0 && unread_.size() > kMaxUnreadBytes;
    if (framing_too_long || preceding_bytes_ > kMaxPrecedingBytes) {
      FailCall(UpstreamFailure::kNotHttp);
      return;
    }
    if (n == 0)
      return;
  }
}

bool UpstreamConnection::Progress() {
  const std::shared_ptr<bool> alive = alive_;
  const ParseState state = parser_->state();
  if (state == ParseState::kHead)
    return true;
  if (state != ParseState::kBody && state != ParseState::kComplete) {
    FailCall(UpstreamFailure::kNotHttp);
    return false;
  }
  ResponseHead& head = parser_->head();
  if (!head_told_) {
    head_told_ = true;
    own_response_ = IsOwn(head);
    if (own_response_) {
      stated_idle_ = ReadKeepAlive(head);
      handlers_.on_head(head);
      if (!*alive || !in_call_)
        return false;
    } else if (!IsInterim(head) && handlers_.on_dropped) {
      handlers_.on_dropped(head);
    }
  }
  const std::string body = parser_->TakeBody();
  if (own_response_ && !body.empty()) {
    handlers_.on_body(body);
    if (!*alive || !in_call_)
      return false;
  }
  if (state != ParseState::kComplete)
    return true;
  if (!own_response_) {
    head_told_ = false;
    parser_ = std::make_unique<ResponseParser>(kResponseLimits, expected_body_);
    return true;
  }
  CompleteCall();
  return false;
}

void UpstreamConnection::CompleteCall() {
  in_call_ = false;
  served_ = true;
  broken_ = broken_ || !parser_->head().keeps_connection || !unread_.empty() ||
            stream_->waiting_bytes() > 0;
  const std::function<void()> handler = std::move(handlers_.on_complete);
  handler();
}

void UpstreamConnection::FailCall(UpstreamFailure failure) {
  end_timer_.Reset();
  broken_ = true;
  in_call_ = false;
  const auto handler = std::move(handlers_.on_failure);
  if (handler)
    handler(failure);
}

void UpstreamConnection::OnEnd(StreamEnd end) {
  broken_ = true;
  if (!in_call_)
    return;
  if (end == StreamEnd::kNotConnected || !connected_) {
    FailCall(UpstreamFailure::kNotConnected);
    return;
  }
  if (end != StreamEnd::kOrderly)
    return FailCall(UpstreamFailure::kBroken);
  if (!parser_->ends_with_connection())
    return FailCall(UpstreamFailure::kClosed);
  // A server that failed in the middle of its response while it read the
  // request ends in order, too, and resets the connection next.
  if (stream_->HasUnacknowledged())
    end_timer_.StartTimer(kResetWaitMs, [this] { EndBody(); });
  else
    EndBody();
}

void UpstreamConnection::EndBody() {
  // Closed, unless an error was indicated (RFC 9112, 8).
  if (stream_->HasFailed())
    return FailCall(UpstreamFailure::kBroken);
  parser_->FeedEnd();
  // The end of a dropped response isn't that of the call.
  if (parser_->state() == ParseState::kComplete && !Progress())
    return;
  FailCall(UpstreamFailure::kClosed);
}

}  // namespace briarlead
