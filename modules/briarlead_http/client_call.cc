#include "briarlead_http/client_call.h"

#include <algorithm>
#include <utility>

#include "briarlead_net/loop_clock.h"

namespace briarlead {

namespace {

bool IsIdempotent(std::string_view method) {
  return method != "POST" && method != "PATCH";
}

/// Returns whether `text` may stand between the spaces of a request line.
bool FitsRequestLine(std::string_view text) {
  const auto is_visible = [](char c) { return c > ' ' && c != '\x7f'; };
  return !text.empty() && std::all_of(text.begin(), text.end(), is_visible);
}

/// Whether the request needs a connection of its own. Its server closes it:
/// further such requests would not use it.
bool NeedsOwnConnection(const HttpRequest& request) {
  return request.new_connection || !IsIdempotent(request.method);
}

std::string WriteRequest(const HttpRequest& request) {
  RequestHead head;
  head.method = request.method;
  head.target = request.path;
  head.fields.Add("Host", ToString(request.endpoint));
  if (NeedsOwnConnection(request))
    head.fields.Add("Connection", "close");
  for (const HeaderField& it : request.headers.items()) {
    if (IsWritableField(it))
      head.fields.Add(it.name, it.value);
  }
  return WriteRequestHead(head, request.body.size()) + request.body;
}

guint Milliseconds(Duration duration) {
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(duration);
  return static_cast<guint>(ms.count());
}

}  // namespace

ClientCall::ClientCall(const std::shared_ptr<ClientCalls>& all,
                       HttpRequest request,
                       HttpCallHandler handler)
    : all_(all), request_(std::move(request)), handler_(std::move(handler)) {
  all->open.insert(this);
}

ClientCall::~ClientCall() {
  Abort();
}

void ClientCall::Start(TimePoint now) {
  const std::shared_ptr<ClientCalls> all = all_.lock();
  if (!FitsRequestLine(request_.method) || !FitsRequestLine(request_.path)) {
    EndLater(
        {ErrorCode::kInvalidArgument, "not a valid path: " + request_.path});
    return;
  }
  if (all->open.size() > all->options.max_connections) {
    EndLater({ErrorCode::kUnavailable, "too many calls in progress"});
    return;
  }
  UpstreamCallOptions options;
  options.connect_timeout = request_.connect_timeout;
  options.new_connection = NeedsOwnConnection(request_);
  call_ = all->pool.Start(request_.endpoint, WriteRequest(request_), options,
                          MakeHandlers(), now);
  request_.body.clear();
  if (call_->connected())
    StartFirstByteTimer();
}

UpstreamHandlers ClientCall::MakeHandlers() {
  // Each holds the call while it runs: the user may let go of it meanwhile.
  const std::weak_ptr<ClientCall> weak = weak_from_this();
  UpstreamHandlers handlers;
  handlers.match = [](const ResponseHead&) { return ResponseMatch::kOwn; };
  handlers.on_connected = [weak] {
    if (const auto self = weak.lock())
      self->StartFirstByteTimer();
  };
  handlers.on_head = [weak](const ResponseHead& head) {
    if (const auto self = weak.lock())
      self->OnHead(head);
  };
  handlers.on_body = [weak](std::string_view bytes) {
    const auto self = weak.lock();
    if (self && self->handler_.on_data)
      self->handler_.on_data(bytes);
  };
  handlers.on_complete = [weak] {
    if (const auto self = weak.lock())
      self->End(std::nullopt);
  };
  handlers.on_failure = [weak](UpstreamFailure failure) {
    if (const auto self = weak.lock())
      self->OnFailure(failure);
  };
  return handlers;
}

void ClientCall::StartFirstByteTimer() {
  if (request_.first_byte_timeout == Duration::zero())
    return;
  timer_.StartTimer(Milliseconds(request_.first_byte_timeout), [this] {
    End(Error{ErrorCode::kTimedOut,
              "no response in time from " + ToString(request_.endpoint)});
  });
}

void ClientCall::OnHead(const ResponseHead& head) {
  timer_.Reset();
  // A copy: the user may end the call, and with it the head, from within.
  const HeaderFields fields = head.fields;
  if (handler_.on_head)
    handler_.on_head(head.status, fields);
}

void ClientCall::OnFailure(UpstreamFailure failure) {
  const bool unavailable = failure == UpstreamFailure::kNotConnected;
  End(Error{unavailable ? ErrorCode::kUnavailable : ErrorCode::kIo,
            "call to " + ToString(request_.endpoint) + ": " +
                std::string(ToString(failure))});
}

void ClientCall::SetReading(bool reading) {
  if (call_)
    call_->SetReading(reading);
}

bool ClientCall::request_may_have_left() const {
  return call_ ? call_->connected() : had_left_;
}

void ClientCall::EndLater(Error error) {
  timer_.StartTimer(0, [this, error = std::move(error)] { End(error); });
}

void ClientCall::End(std::optional<Error> error) {
  if (ended_)
    return;
  const auto self = shared_from_this();
  const HttpCallHandler handler = std::exchange(handler_, {});
  Abort();
  if (handler.on_done)
    handler.on_done({std::move(error), had_left_});
}

void ClientCall::Abort() {
  if (std::exchange(ended_, true))
    return;
  timer_.Reset();
  handler_ = {};
  had_left_ = request_may_have_left();
  const std::unique_ptr<UpstreamCall> call = std::move(call_);
  if (const auto all = all_.lock())
    all->open.erase(this);
}

}  // namespace briarlead
