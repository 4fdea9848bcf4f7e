#include "briarlead_http/http_server.h"

#include <libsoup/soup.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "briarlead_http/connection_table.h"
#include "briarlead_http/gobject_ptr.h"
#include "briarlead_http/head_receiver.h"
#include "briarlead_http/message_socket.h"
#include "briarlead_http/ready_time_source.h"
#include "briarlead_http/soup_exchange.h"
#include "briarlead_http/soup_headers.h"

namespace briarlead {

namespace {

constexpr int kListenBacklog = 4096;
constexpr guint kSweepIntervalMs = 250;
constexpr guint kAcceptRetryMs = 100;
constexpr int kMaxAcceptsPerTurn = 64;
constexpr std::size_t kDiscardBytes = 64 << 10;
// A caller whose machine is lost without a sign is noticed after this.
constexpr int kKeepAliveIdleS = 10;
constexpr int kKeepAliveIntervalS = 5;
constexpr int kKeepAliveProbes = 3;
constexpr int kUserTimeoutMs = 30000;
// A caller that takes nothing of its response for this long counts as gone.
constexpr Duration kWriteTimeout = std::chrono::seconds(60);

TimePoint Now() {
  return TimePoint(Duration(g_get_monotonic_time()));
}

ErrorCode CodeOfListenError(const GError& error) {
  return g_error_matches(&error, G_IO_ERROR, G_IO_ERROR_ADDRESS_IN_USE)
             ? ErrorCode::kUnavailable
             : ErrorCode::kInvalidArgument;
}

auto FailToListen(const Endpoint& endpoint, const GError& error) {
  return Fail(CodeOfListenError(error),
              "listen on " + ToString(endpoint) + ": " + error.message);
}

Result<GObjectPtr<GSocket>> OpenListener(const Endpoint& endpoint) {
  GError* raw = nullptr;
  const GObjectPtr<GSocketAddress> address(
      g_inet_socket_address_new_from_string(endpoint.address.c_str(),
                                            endpoint.port));
  if (!address) {
    return Fail(ErrorCode::kInvalidArgument,
                "listen on " + ToString(endpoint) + ": not an IP address");
  }
  GObjectPtr<GSocket> socket(
      g_socket_new(g_socket_address_get_family(address.get()),
                   G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &raw));
  if (!socket) {
    const GErrorPtr error(raw);
    return FailToListen(endpoint, *error);
  }
  g_socket_set_blocking(socket.get(), FALSE);
  g_socket_set_listen_backlog(socket.get(), kListenBacklog);
  if (!g_socket_bind(socket.get(), address.get(), TRUE, &raw) ||
      !g_socket_listen(socket.get(), &raw)) {
    const GErrorPtr error(raw);
    return FailToListen(endpoint, *error);
  }
  return socket;
}

void SetConnectionOptions(GSocket* socket) {
  g_socket_set_blocking(socket, FALSE);
  g_socket_set_keepalive(socket, TRUE);
  const struct {
    gint name;
    gint value;
  } options[] = {
      {TCP_NODELAY, 1},
      {TCP_KEEPIDLE, kKeepAliveIdleS},
      {TCP_KEEPINTVL, kKeepAliveIntervalS},
      {TCP_KEEPCNT, kKeepAliveProbes},
      {TCP_USER_TIMEOUT, kUserTimeoutMs},
  };
  for (const auto& it : options)
    g_socket_set_option(socket, IPPROTO_TCP, it.name, it.value, nullptr);
}

/// Answers outside libsoup and closes: for requests that are not read to their
/// end. The request was not run.
void RefuseAndClose(GSocket* socket, int status, std::string_view title) {
  const std::string body =
      "{\"type\":\"about:blank\",\"title\":\"" + std::string(title) +
      "\",\"status\":" + std::to_string(status) + ",\"execution\":\"not_run\"}";
  const std::string text =
      "HTTP/1.1 " + std::to_string(status) + " " + std::string(title) +
      "\r\nContent-Type: application/problem+json\r\nRetry-After: 1\r\n"
      "Connection: close\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  g_socket_send(socket, text.data(), text.size(), nullptr, nullptr);
  g_socket_shutdown(socket, FALSE, TRUE, nullptr);
}

/// Takes in what is there: a socket that is closed with bytes unread is reset,
/// and the caller may lose the answer.
void Discard(GSocket* socket) {
  std::array<char, kDiscardBytes> buf;
  while (g_socket_receive(socket, buf.data(), buf.size(), nullptr, nullptr) > 0)
    continue;
}

}  // namespace

class HttpServer::Impl : public SoupExchangeOwner, public HeadReceiverOwner {
 public:
  Impl(const HttpServerOptions& options,
       Handler handler,
       GObjectPtr<GSocket> listener)
      : options_(options),
        handler_(std::move(handler)),
        listener_(std::move(listener)),
        connections_(options.receive_timeout),
        server_(soup_server_new("server-header",
                                "briarlead",
                                "raw-paths",
                                TRUE,
                                nullptr)) {
    soup_server_add_early_handler(server_.get(), nullptr, OnHead, this,
                                  nullptr);
    soup_server_add_handler(server_.get(), nullptr, OnRequest, this, nullptr);
    AddAcceptSource();
    AddSweepSource();
    AddFlushSource();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  ~Impl() override {
    StopListening();
    heads_.clear();
    auto exchanges = std::move(exchanges_);
    exchanges_.clear();
    for (const auto& [message, it] : exchanges) {
      g_signal_handlers_disconnect_by_data(message, this);
      it->Detach();
    }
    for (GSocket* it : connections_.sockets())
      g_socket_shutdown(it, TRUE, TRUE, nullptr);
    soup_server_remove_handler(server_.get(), nullptr);
    soup_server_disconnect(server_.get());
  }

  void StopListening() {
    accept_source_.reset();
    listener_.reset();
  }

  [[nodiscard]] Endpoint endpoint() const { return endpoint_; }
  [[nodiscard]] std::size_t active() const { return exchanges_.size(); }
  [[nodiscard]] std::size_t connections() const {
    return connections_.CountOpen();
  }

  void ReadEndpoint(const Endpoint& wanted) {
    endpoint_ = wanted;
    const GObjectPtr<GSocketAddress> local(
        g_socket_get_local_address(listener_.get(), nullptr));
    if (local) {
      endpoint_.port =
          g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(local.get()));
    }
  }

  // HeadReceiverOwner:
  void OnHeadReceived(HeadReceiver& receiver) override {
    const auto connection = RefGObject(receiver.connection());
    GSocket* socket = receiver.socket();
    // Ends its watch, so that the exchange can watch the same socket.
    heads_.erase(socket);
    const GObjectPtr<GSocketAddress> local(
        g_socket_get_local_address(socket, nullptr));
    const GObjectPtr<GSocketAddress> remote = MakeRemoteAddress(socket);
    if (!local || !remote)
      return;  // Gone already.
    soup_server_accept_iostream(server_.get(), G_IO_STREAM(connection.get()),
                                local.get(), remote.get(), nullptr);
  }
  void OnHeadRefused(HeadReceiver& receiver, int status) override {
    const auto taken = std::move(heads_.extract(receiver.socket()).mapped());
    if (status == 0)
      return;
    const char* title = soup_status_get_phrase(static_cast<guint>(status));
    RefuseAndClose(taken->socket(), status, title);
    Discard(taken->socket());
  }

  // SoupExchangeOwner:
  SocketWatcher& watcher() override { return watcher_; }
  void FlushLater(SoupExchange& exchange) override {
    if (unflushed_.empty())
      g_source_set_ready_time(flush_source_.get(), 0);
    unflushed_.push_back(exchange.weak_from_this());
  }
  void OnExchangeFinished(SoupExchange& exchange) override {
    SoupServerMessage* message = exchange.message();
    g_signal_handlers_disconnect_by_data(message, this);
    exchanges_.erase(message);
  }

 private:
  void AddAcceptSource() {
    accept_source_.reset(
        g_socket_create_source(listener_.get(), G_IO_IN, nullptr));
    const GSocketSourceFunc accept = [](GSocket*, GIOCondition, gpointer self) {
      return static_cast<gboolean>(static_cast<Impl*>(self)->Accept());
    };
    g_source_set_callback(accept_source_.get(), G_SOURCE_FUNC(accept), this,
                          nullptr);
    g_source_attach(accept_source_.get(), nullptr);
  }

  void AddSweepSource() {
    sweep_source_.reset(g_timeout_source_new(kSweepIntervalMs));
    const GSourceFunc sweep = [](gpointer self) {
      static_cast<Impl*>(self)->Sweep();
      return static_cast<gboolean>(G_SOURCE_CONTINUE);
    };
    g_source_set_callback(sweep_source_.get(), sweep, this, nullptr);
    g_source_attach(sweep_source_.get(), nullptr);
  }

  void AddFlushSource() {
    flush_source_ = MakeReadyTimeSource(
        [](gpointer self) {
          static_cast<Impl*>(self)->FlushAll();
          return static_cast<gboolean>(G_SOURCE_CONTINUE);
        },
        this);
  }

  void FlushAll() {
    g_source_set_ready_time(flush_source_.get(), -1);
    const auto exchanges = std::exchange(unflushed_, {});
    for (const auto& it : exchanges) {
      if (const auto exchange = it.lock())
        exchange->Flush();
    }
  }

  /// Accepts what is waiting. Returns whether to go on at once; when the
  /// process is out of descriptors it tries again later.
  bool Accept() {
    for (int i = 0; i < kMaxAcceptsPerTurn; ++i) {
      GError* raw = nullptr;
      const GObjectPtr<GSocket> socket(
          g_socket_accept(listener_.get(), nullptr, &raw));
      if (socket) {
        TakeConnection(socket.get());
        continue;
      }
      const GErrorPtr error(raw);
      if (g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        return true;
      RetryAcceptLater();
      return false;
    }
    return true;
  }

  void RetryAcceptLater() {
    accept_source_.reset(g_timeout_source_new(kAcceptRetryMs));
    const GSourceFunc retry = [](gpointer self) {
      static_cast<Impl*>(self)->AddAcceptSource();
      return static_cast<gboolean>(G_SOURCE_REMOVE);
    };
    g_source_set_callback(accept_source_.get(), retry, this, nullptr);
    g_source_attach(accept_source_.get(), nullptr);
  }

  void TakeConnection(GSocket* socket) {
    if (connections_.size() >= options_.max_connections)
      connections_.PruneClosed();
    if (connections_.size() >= options_.max_connections) {
      RefuseAndClose(socket, SOUP_STATUS_SERVICE_UNAVAILABLE,
                     "Too Many Connections");
      return;
    }
    SetConnectionOptions(socket);
    const GObjectPtr<GSocketConnection> connection(
        g_socket_connection_factory_create_connection(socket));
    connections_.Add(connection.get(), Now());
    heads_[socket] = std::make_unique<HeadReceiver>(
        this, &watcher_, connection.get(), options_.max_header_bytes);
  }

  static void OnHead(SoupServer*,
                     SoupServerMessage* message,
                     const char*,
                     GHashTable*,
                     gpointer data) {
    Impl* self = static_cast<Impl*>(data);
    self->exchanges_[message] = std::make_shared<SoupExchange>(self, message);
    g_signal_connect(message, "got-chunk", G_CALLBACK(OnGotChunk), self);
    SoupMessageHeaders* headers =
        soup_server_message_get_request_headers(message);
    const bool counted = soup_message_headers_get_encoding(headers) ==
                         SOUP_ENCODING_CONTENT_LENGTH;
    if (counted && soup_message_headers_get_content_length(headers) >
                       static_cast<goffset>(self->options_.max_body_bytes)) {
      self->Refuse(message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
                   "Request Body Too Large");
    }
  }

  static void OnGotChunk(SoupServerMessage* message, GBytes*, Impl* self) {
    const SoupMessageBody* body = soup_server_message_get_request_body(message);
    if (body->length > static_cast<goffset>(self->options_.max_body_bytes)) {
      self->Refuse(message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
                   "Request Body Too Large");
    }
  }

  static bool IsRefused(SoupServerMessage* message) {
    return soup_message_body_get_accumulate(
               soup_server_message_get_request_body(message)) == FALSE;
  }

  /// Answers now and keeps nothing of what is still received.
  void Refuse(SoupServerMessage* message, int status, std::string_view title) {
    if (IsRefused(message))
      return;
    SoupMessageBody* body = soup_server_message_get_request_body(message);
    soup_message_body_truncate(body);
    soup_message_body_set_accumulate(body, FALSE);
    if (GSocket* socket = SocketOfMessage(message))
      RefuseAndClose(socket, status, title);
  }

  static void OnRequest(SoupServer*,
                        SoupServerMessage* message,
                        const char*,
                        GHashTable*,
                        gpointer data) {
    Impl* self = static_cast<Impl*>(data);
    const auto it = self->exchanges_.find(message);
    if (it == self->exchanges_.end())
      return;
    if (IsRefused(message)) {
      soup_server_message_set_status(
          message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, nullptr);
      return;
    }
    if (GSocket* socket = SocketOfMessage(message))
      self->connections_.SetReceived(socket);
    self->handler_(it->second->BeginHandling());
  }

  void Sweep() {
    for (GSocket* it : connections_.TakeExpired(Now())) {
      RefuseAndClose(it, SOUP_STATUS_REQUEST_TIMEOUT, "Request Timeout");
      Discard(it);
      g_socket_shutdown(it, TRUE, TRUE, nullptr);
      heads_.erase(it);
    }
    const std::int64_t now = g_get_monotonic_time();
    std::vector<std::shared_ptr<SoupExchange>> stuck;
    for (const auto& [message, it] : exchanges_) {
      const auto since = it->writing_since();
      if (since && now - *since >= kWriteTimeout.count())
        stuck.push_back(it);
    }
    for (const auto& it : stuck)
      it->Drop();
  }

  HttpServerOptions options_;
  Handler handler_;
  GObjectPtr<GSocket> listener_;
  Endpoint endpoint_;
  SocketWatcher watcher_;
  ConnectionTable connections_;
  GObjectPtr<SoupServer> server_;
  std::unordered_map<GSocket*, std::unique_ptr<HeadReceiver>> heads_;
  GSourcePtr accept_source_;
  GSourcePtr sweep_source_;
  GSourcePtr flush_source_;
  std::vector<std::weak_ptr<SoupExchange>> unflushed_;
  std::unordered_map<SoupServerMessage*, std::shared_ptr<SoupExchange>>
      exchanges_;
};

HttpServer::HttpServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

HttpServer::~HttpServer() = default;

Result<std::unique_ptr<HttpServer>> HttpServer::Listen(
    const Endpoint& endpoint,
    const HttpServerOptions& options,
    Handler handler) {
  BOOST_OUTCOME_TRY(auto listener, OpenListener(endpoint));
  auto impl =
      std::make_unique<Impl>(options, std::move(handler), std::move(listener));
  impl->ReadEndpoint(endpoint);
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

void HttpServer::StopListening() {
  impl_->StopListening();
}

Endpoint HttpServer::endpoint() const {
  return impl_->endpoint();
}

std::size_t HttpServer::active_exchanges() const {
  return impl_->active();
}

std::size_t HttpServer::connections() const {
  return impl_->connections();
}

}  // namespace briarlead
