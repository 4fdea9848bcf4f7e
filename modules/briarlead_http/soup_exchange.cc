#include "briarlead_http/soup_exchange.h"

#include <sys/epoll.h>

#include <utility>

#include "briarlead_http/message_socket.h"
#include "briarlead_http/soup_headers.h"

namespace briarlead {

namespace {

constexpr std::uint32_t kGoneEvents = EPOLLRDHUP | EPOLLHUP | EPOLLERR;

}  // namespace

SoupExchange::SoupExchange(SoupExchangeOwner* owner, SoupServerMessage* message)
    : owner_(owner), message_(RefGObject(message)) {
  ConnectSignals();
}

SoupExchange::~SoupExchange() {
  Unwatch();
  DisconnectSignals();
}

void SoupExchange::ConnectSignals() {
  g_signal_connect(message_.get(), "wrote-chunk",
                   G_CALLBACK(+[](SoupServerMessage*, SoupExchange* self) {
                     self->OnWroteChunk();
                   }),
                   this);
  g_signal_connect(message_.get(), "wrote-body",
                   G_CALLBACK(+[](SoupServerMessage*, SoupExchange* self) {
                     self->OnWroteBody();
                   }),
                   this);
  g_signal_connect(message_.get(), "finished",
                   G_CALLBACK(+[](SoupServerMessage*, SoupExchange* self) {
                     self->OnFinished();
                   }),
                   this);
}

void SoupExchange::DisconnectSignals() {
  g_signal_handlers_disconnect_by_data(message_.get(), this);
}

std::shared_ptr<HttpExchange> SoupExchange::BeginHandling() {
  body_.reset(soup_message_body_flatten(
      soup_server_message_get_request_body(message_.get())));
  soup_server_message_pause(message_.get());
  GSocket* socket = SocketOfMessage(message_.get());
  if (socket != nullptr) {
    watched_fd_ = g_socket_get_fd(socket);
    owner_->watcher().Add(watched_fd_, kGoneEvents, this);
  }
  const auto release = [self = shared_from_this()](HttpExchange*) {
    self->OnHandlerReleased();
  };
  return {this, release};
}

void SoupExchange::OnHandlerReleased() {
  gone_handler_ = nullptr;
  drained_handler_ = nullptr;
  if (state_ == State::kWaiting)
    Respond({.status = SOUP_STATUS_INTERNAL_SERVER_ERROR});
  if (state_ == State::kStreaming)
    Abort();
}

void SoupExchange::Detach() {
  const auto self = shared_from_this();
  Unwatch();
  DisconnectSignals();
  owner_ = nullptr;
  finished_ = true;
  ReportGone();
}

std::optional<std::int64_t> SoupExchange::writing_since() const {
  if (!write_in_progress_)
    return std::nullopt;
  return writing_since_;
}

std::string_view SoupExchange::method() const {
  return soup_server_message_get_method(message_.get());
}

std::string_view SoupExchange::path() const {
  return g_uri_get_path(soup_server_message_get_uri(message_.get()));
}

std::string_view SoupExchange::query() const {
  const char* query =
      g_uri_get_query(soup_server_message_get_uri(message_.get()));
  return query == nullptr ? std::string_view() : query;
}

std::optional<std::string_view> SoupExchange::Header(
    std::string_view name) const {
  return FindSoupHeader(soup_server_message_get_request_headers(message_.get()),
                        name);
}

HttpHeaders SoupExchange::headers() const {
  return CopySoupHeaders(
      soup_server_message_get_request_headers(message_.get()));
}

std::string_view SoupExchange::body() const {
  if (!body_)
    return {};
  gsize size = 0;
  const void* data = g_bytes_get_data(body_.get(), &size);
  return {static_cast<const char*>(data), size};
}

void SoupExchange::SetHead(int status,
                           const HttpHeaders& headers,
                           std::string_view content_type) {
  soup_server_message_set_status(message_.get(), static_cast<guint>(status),
                                 nullptr);
  SoupMessageHeaders* out =
      soup_server_message_get_response_headers(message_.get());
  AppendSoupHeaders(out, headers);
  if (!content_type.empty())
    AppendSoupHeader(out, "Content-Type", content_type);
  // libsoup 3.2 neither closes nor frees a connection that it kept alive when
  // the caller closes it.
  soup_message_headers_replace(out, "Connection", "close");
}

void SoupExchange::Respond(HttpResponse response) {
  if (state_ != State::kWaiting)
    return;
  state_ = State::kEnding;
  SetHead(response.status, response.headers, response.content_type);
  SoupMessageBody* body = soup_server_message_get_response_body(message_.get());
  if (!response.body.empty()) {
    soup_message_body_append(body, SOUP_MEMORY_COPY, response.body.data(),
                             response.body.size());
  }
  soup_message_body_complete(body);
  BeginWriting();
  soup_server_message_unpause(message_.get());
}

void SoupExchange::StartStream(int status,
                               HttpHeaders headers,
                               std::string_view content_type) {
  if (state_ != State::kWaiting)
    return;
  state_ = State::kStreaming;
  SetHead(status, headers, content_type);
  SoupMessageHeaders* out =
      soup_server_message_get_response_headers(message_.get());
  const bool chunked =
      soup_server_message_get_http_version(message_.get()) != SOUP_HTTP_1_0;
  soup_message_headers_set_encoding(
      out, chunked ? SOUP_ENCODING_CHUNKED : SOUP_ENCODING_EOF);
  soup_message_body_set_accumulate(
      soup_server_message_get_response_body(message_.get()), FALSE);
  soup_server_message_unpause(message_.get());
}

void SoupExchange::BeginWriting() {
  write_in_progress_ = true;
  writing_since_ = g_get_monotonic_time();
}

void SoupExchange::AppendChunk(std::string_view data) {
  soup_message_body_append(
      soup_server_message_get_response_body(message_.get()), SOUP_MEMORY_COPY,
      data.data(), data.size());
  bytes_in_progress_ = data.size();
  BeginWriting();
}

void SoupExchange::Write(std::string_view data) {
  if (state_ != State::kStreaming || data.empty())
    return;
  buffer_.append(data);
  if (write_in_progress_ || flush_pending_)
    return;
  flush_pending_ = true;
  owner_->FlushLater(*this);
}

void SoupExchange::Flush() {
  flush_pending_ = false;
  if (state_ != State::kStreaming || write_in_progress_ || buffer_.empty())
    return;
  AppendChunk(buffer_);
  buffer_.clear();
  soup_server_message_unpause(message_.get());
}

void SoupExchange::OnWroteChunk() {
  if (state_ != State::kStreaming)
    return;
  write_in_progress_ = false;
  bytes_in_progress_ = 0;
  if (!buffer_.empty()) {
    AppendChunk(buffer_);
    buffer_.clear();
    return;
  }
  if (drained_handler_) {
    const auto self = shared_from_this();
    const auto handler = drained_handler_;
    handler();
  }
}

void SoupExchange::FinishStream() {
  if (state_ != State::kStreaming)
    return;
  state_ = State::kEnding;
  const bool idle = !write_in_progress_;
  if (!buffer_.empty()) {
    AppendChunk(buffer_);
    buffer_.clear();
  }
  soup_message_body_complete(
      soup_server_message_get_response_body(message_.get()));
  BeginWriting();
  if (idle)
    soup_server_message_unpause(message_.get());
}

void SoupExchange::Abort() {
  if (state_ == State::kOver)
    return;
  Unwatch();
  CloseConnection();
}

std::size_t SoupExchange::pending_bytes() const {
  return buffer_.size() + bytes_in_progress_;
}

void SoupExchange::SetGoneHandler(std::function<void()> handler) {
  gone_handler_ = std::move(handler);
  if (!gone_ || !gone_handler_)
    return;
  // Reported from the loop, so that no caller is called back from within.
  struct Late {
    std::shared_ptr<SoupExchange> exchange;
  };
  g_idle_add_full(
      G_PRIORITY_DEFAULT,
      [](gpointer data) {
        SoupExchange& self = *static_cast<Late*>(data)->exchange;
        if (auto call = std::exchange(self.gone_handler_, nullptr))
          call();
        return static_cast<gboolean>(G_SOURCE_REMOVE);
      },
      new Late{shared_from_this()},
      [](gpointer data) { delete static_cast<Late*>(data); });
}

void SoupExchange::SetDrainedHandler(std::function<void()> handler) {
  drained_handler_ = std::move(handler);
}

void SoupExchange::OnSocketEvents(std::uint32_t events) {
  // A caller that has sent all of its requests may close its sending side and
  // still read; what is already on its way to it is not cut off.
  const bool half_closed = (events & (EPOLLHUP | EPOLLERR)) == 0;
  if (state_ == State::kEnding && half_closed) {
    Unwatch();
    return;
  }
  Drop();
}

void SoupExchange::Drop() {
  const auto self = shared_from_this();
  Unwatch();
  if (state_ == State::kOver)
    return;
  ReportGone();
  if (!finished_)
    CloseConnection();
}

void SoupExchange::Unwatch() {
  if (watched_fd_ < 0)
    return;
  owner_->watcher().Remove(watched_fd_);
  watched_fd_ = -1;
}

void SoupExchange::ReportGone() {
  if (state_ == State::kOver || gone_)
    return;
  gone_ = true;
  if (finished_)
    state_ = State::kOver;
  if (auto handler = std::exchange(gone_handler_, nullptr))
    handler();
}

void SoupExchange::CloseConnection() {
  const State before = std::exchange(state_, State::kOver);
  buffer_.clear();
  if (finished_)
    return;
  GSocket* socket = SocketOfMessage(message_.get());
  if (socket != nullptr)
    g_socket_shutdown(socket, TRUE, TRUE, nullptr);
  if (before == State::kEnding)
    return;
  // libsoup notices the closed socket only when it writes, so let it try.
  if (before == State::kWaiting) {
    soup_server_message_set_status(message_.get(),
                                   SOUP_STATUS_INTERNAL_SERVER_ERROR, nullptr);
  }
  SoupMessageBody* body = soup_server_message_get_response_body(message_.get());
  soup_message_body_append(body, SOUP_MEMORY_STATIC, "\n", 1);
  soup_message_body_complete(body);
  soup_server_message_unpause(message_.get());
}

void SoupExchange::OnWroteBody() {
  if (state_ == State::kEnding)
    state_ = State::kOver;
}

void SoupExchange::OnFinished() {
  const auto self = shared_from_this();
  finished_ = true;
  write_in_progress_ = false;
  Unwatch();
  DisconnectSignals();
  ReportGone();
  state_ = State::kOver;
  gone_handler_ = nullptr;
  drained_handler_ = nullptr;
  SoupExchangeOwner* owner = std::exchange(owner_, nullptr);
  if (owner != nullptr)
    owner->OnExchangeFinished(*this);
}

}  // namespace briarlead
