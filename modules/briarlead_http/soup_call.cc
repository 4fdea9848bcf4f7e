#include "briarlead_http/soup_call.h"

#include <gio/gfiledescriptorbased.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <string>
#include <utility>

#include "briarlead_http/soup_headers.h"

namespace briarlead {

namespace {

constexpr std::uint32_t kReadEvents = EPOLLIN | EPOLLRDHUP;

/// Returns the socket below libsoup's response stream, or -1.
int FindSocket(GInputStream* stream) {
  while (G_IS_FILTER_INPUT_STREAM(stream)) {
    stream =
        g_filter_input_stream_get_base_stream(G_FILTER_INPUT_STREAM(stream));
  }
  if (!G_IS_FILE_DESCRIPTOR_BASED(stream))
    return -1;
  return g_file_descriptor_based_get_fd(G_FILE_DESCRIPTOR_BASED(stream));
}

/// Returns the stream that removes the framing of the body below `stream`.
GObjectPtr<GInputStream> FindBodyStream(GInputStream* stream) {
  if (!G_IS_FILTER_INPUT_STREAM(stream))
    return nullptr;
  GInputStream* body =
      g_filter_input_stream_get_base_stream(G_FILTER_INPUT_STREAM(stream));
  return G_IS_POLLABLE_INPUT_STREAM(body) ? RefGObject(body) : nullptr;
}

/// Returns the socket below libsoup's response stream, or null.
GObjectPtr<GSocket> FindSocketObject(GInputStream* stream) {
  while (G_IS_FILTER_INPUT_STREAM(stream)) {
    stream =
        g_filter_input_stream_get_base_stream(G_FILTER_INPUT_STREAM(stream));
  }
  GObjectClass* type = G_OBJECT_GET_CLASS(stream);
  if (g_object_class_find_property(type, "socket") == nullptr)
    return nullptr;
  GSocket* socket = nullptr;
  g_object_get(stream, "socket", &socket, nullptr);
  return GObjectPtr<GSocket>(socket);
}

/// Returns whether the peer has closed its sending side.
bool IsClosedByPeer(GSocket* socket) {
  char byte = 0;
  return g_socket_is_closed(socket) ||
         recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

using CallPointer = std::shared_ptr<SoupCall>;

void DeleteCallPointer(gpointer data) {
  delete static_cast<CallPointer*>(data);
}

}  // namespace

SoupCall::SoupCall(std::shared_ptr<SoupClientContext> context,
                   HttpRequest request,
                   HttpCallHandler handler)
    : context_(std::move(context)),
      request_(std::move(request)),
      handler_(std::move(handler)),
      cancellable_(g_cancellable_new()) {
  context_->calls.insert(this);
}

SoupCall::~SoupCall() {
  Release();
}

bool SoupCall::MakeMessage() {
  const std::string uri =
      "http://" + ToString(request_.endpoint) + request_.path;
  message_.reset(soup_message_new(request_.method.c_str(), uri.c_str()));
  if (!message_)
    return false;
  int flags = SOUP_MESSAGE_NO_REDIRECT | SOUP_MESSAGE_DO_NOT_USE_AUTH_CACHE;
  if (request_.new_connection)
    flags |= SOUP_MESSAGE_NEW_CONNECTION;
  soup_message_set_flags(message_.get(), static_cast<SoupMessageFlags>(flags));
  if (!request_.body.empty()) {
    const GBytesPtr body(
        g_bytes_new(request_.body.data(), request_.body.size()));
    soup_message_set_request_body_from_bytes(message_.get(), nullptr,
                                             body.get());
    request_.body.clear();
  }
  AppendSoupHeaders(soup_message_get_request_headers(message_.get()),
                    request_.headers);
  return true;
}

void SoupCall::Start() {
  if (!MakeMessage()) {
    EndLater(
        {ErrorCode::kInvalidArgument, "not a valid path: " + request_.path});
    return;
  }
  g_signal_connect(
      message_.get(), "starting",
      G_CALLBACK(+[](SoupMessage*, SoupCall* self) { self->OnStarting(); }),
      this);
  g_signal_connect(
      message_.get(), "restarted",
      G_CALLBACK(+[](SoupMessage*, SoupCall* self) { self->OnRestarted(); }),
      this);
  context_->deadlines.Set(deadline_, request_.connect_timeout, this);
  soup_session_send_async(context_->session.get(), message_.get(),
                          G_PRIORITY_DEFAULT, cancellable_.get(), OnSent,
                          new CallPointer(shared_from_this()));
}

void SoupCall::OnStarting() {
  may_have_left_ = true;
  context_->deadlines.Remove(deadline_);
  if (request_.first_byte_timeout.count() > 0)
    context_->deadlines.Set(deadline_, request_.first_byte_timeout, this);
}

void SoupCall::OnRestarted() {
  failure_ =
      Error{ErrorCode::kIo, "connection to " + ToString(request_.endpoint) +
                                " closed before the response"};
  g_cancellable_cancel(cancellable_.get());
}

void SoupCall::OnDeadline() {
  context_->deadlines.Remove(deadline_);
  failure_ = Error{ErrorCode::kTimedOut,
                   (may_have_left_ ? "no response in time from "
                                   : "no connection in time to ") +
                       ToString(request_.endpoint)};
  g_cancellable_cancel(cancellable_.get());
}

void SoupCall::OnSent(GObject* session, GAsyncResult* result, gpointer data) {
  const std::unique_ptr<CallPointer> holder(static_cast<CallPointer*>(data));
  SoupCall& self = **holder;
  GError* raw = nullptr;
  GObjectPtr<GInputStream> stream(
      soup_session_send_finish(SOUP_SESSION(session), result, &raw));
  const GErrorPtr error(raw);
  if (self.ended_) {
    self.stream_ = std::move(stream);
    self.DropConnection();
    return;
  }
  if (error) {
    self.End(self.Describe(*error));
    return;
  }
  self.OnHead(stream.release());
}

void SoupCall::OnHead(GInputStream* stream) {
  stream_.reset(stream);
  context_->deadlines.Remove(deadline_);
  fd_ = FindSocket(stream);
  socket_ = FindSocketObject(stream);
  body_stream_ = FindBodyStream(stream);
  const auto status = static_cast<int>(soup_message_get_status(message_.get()));
  if (handler_.on_head) {
    handler_.on_head(
        status,
        CopySoupHeaders(soup_message_get_response_headers(message_.get())));
  }
  if (!ended_ && !paused_)
    Read();
}

void SoupCall::OnSocketEvents(std::uint32_t /*events*/) {
  const auto self = shared_from_this();
  Read();
}

void SoupCall::Read() {
  if (reading_)
    return;
  reading_ = true;
  auto& buffer = context_->read_buffer;
  while (!ended_ && !paused_) {
    GError* raw = nullptr;
    const gssize n = g_pollable_input_stream_read_nonblocking(
        G_POLLABLE_INPUT_STREAM(stream_.get()), buffer.data(), buffer.size(),
        cancellable_.get(), &raw);
    if (n > 0) {
      if (handler_.on_data)
        handler_.on_data({buffer.data(), static_cast<std::size_t>(n)});
      continue;
    }
    const GErrorPtr error(raw);
    if (n == 0) {
      End(CheckWhole());
    } else if (g_error_matches(raw, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
      Watch();
      break;
    } else {
      End(Describe(*error));
    }
  }
  reading_ = false;
}

std::optional<Error> SoupCall::CheckWhole() {
  const bool chunked = soup_message_headers_get_encoding(
                           soup_message_get_response_headers(message_.get())) ==
                       SOUP_ENCODING_CHUNKED;
  if (!chunked || !body_stream_ || !socket_ || !IsClosedByPeer(socket_.get()))
    return std::nullopt;
  // libsoup takes a connection that closes between two chunks for the end of
  // the body. Past the last chunk a further read touches the socket no more.
  g_socket_close(socket_.get(), nullptr);
  char byte = 0;
  GError* raw = nullptr;
  const gssize n = g_pollable_input_stream_read_nonblocking(
      G_POLLABLE_INPUT_STREAM(body_stream_.get()), &byte, 1, nullptr, &raw);
  const GErrorPtr error(raw);
  if (n == 0)
    return std::nullopt;
  return Error{ErrorCode::kIo, "call to " + ToString(request_.endpoint) +
                                   ": connection closed within the response"};
}

void SoupCall::Watch() {
  if (watching_ || fd_ < 0)
    return;
  watching_ = true;
  context_->watcher.Add(fd_, kReadEvents, this);
}

void SoupCall::Unwatch() {
  if (!watching_)
    return;
  watching_ = false;
  context_->watcher.Remove(fd_);
}

void SoupCall::PauseReading() {
  paused_ = true;
  Unwatch();
}

void SoupCall::ResumeReading() {
  if (!paused_)
    return;
  paused_ = false;
  // libsoup may hold bytes that no event of the socket will tell of.
  if (stream_ && !ended_ && !reading_)
    ReadLater();
}

void SoupCall::ReadLater() {
  g_idle_add_full(
      G_PRIORITY_DEFAULT,
      [](gpointer data) {
        SoupCall& self = **static_cast<CallPointer*>(data);
        if (!self.ended_ && !self.paused_)
          self.Read();
        return static_cast<gboolean>(G_SOURCE_REMOVE);
      },
      new CallPointer(shared_from_this()), DeleteCallPointer);
}

Error SoupCall::Describe(const GError& error) const {
  if (failure_)
    return *failure_;
  const ErrorCode code =
      may_have_left_ ? ErrorCode::kIo : ErrorCode::kUnavailable;
  return {code,
          "call to " + ToString(request_.endpoint) + ": " + error.message};
}

void SoupCall::EndLater(Error error) {
  failure_ = std::move(error);
  g_idle_add_full(
      G_PRIORITY_DEFAULT,
      [](gpointer data) {
        SoupCall& self = **static_cast<CallPointer*>(data);
        if (!self.ended_)
          self.End(self.failure_);
        return static_cast<gboolean>(G_SOURCE_REMOVE);
      },
      new CallPointer(shared_from_this()), DeleteCallPointer);
}

void SoupCall::End(std::optional<Error> error) {
  const auto self = shared_from_this();
  const HttpCallHandler handler = std::exchange(handler_, {});
  if (error)
    DropConnection();
  Release();
  if (handler.on_done)
    handler.on_done({std::move(error), may_have_left_});
}

void SoupCall::Abort() {
  if (ended_)
    return;
  const auto self = shared_from_this();
  g_cancellable_cancel(cancellable_.get());
  DropConnection();
  Release();
}

void SoupCall::DropConnection() {
  Unwatch();
  if (!stream_)
    return;
  // libsoup would read a response to its end before it closes the connection.
  const int fd = FindSocket(stream_.get());
  if (fd >= 0)
    shutdown(fd, SHUT_RDWR);
}

void SoupCall::Release() {
  if (ended_)
    return;
  ended_ = true;
  Unwatch();
  context_->deadlines.Remove(deadline_);
  context_->calls.erase(this);
  if (message_)
    g_signal_handlers_disconnect_by_data(message_.get(), this);
  stream_.reset();
  body_stream_.reset();
  socket_.reset();
}

}  // namespace briarlead
