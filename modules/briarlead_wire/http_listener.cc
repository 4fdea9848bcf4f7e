#include "briarlead_wire/http_listener.h"

#include <utility>

#include "briarlead_net/loop_clock.h"

namespace briarlead {

namespace {

constexpr int kBacklog = 4096;
constexpr guint kSweepIntervalMs = 500;
/// Pause after which connections are taken again when descriptors run out.
constexpr guint kAcceptRetryMs = 100;

constexpr int kUnavailable = 503;

OwnBody WriteLine(int status) {
  return {{}, std::string(ReasonOf(status)) + "\n"};
}

}  // namespace

Result<std::unique_ptr<HttpListener>> HttpListener::Listen(
    const Endpoint& endpoint,
    Handlers handlers) {
  BOOST_OUTCOME_TRY(ObjectPtr<GSocket> socket,
                    BindSocket(endpoint, G_SOCKET_TYPE_STREAM));
  g_socket_set_listen_backlog(socket.get(), kBacklog);
  if (g_socket_listen(socket.get(), nullptr) == FALSE) {
    return Fail(ErrorCode::kUnavailable,
                "can't listen on " + ToString(endpoint));
  }
  return std::unique_ptr<HttpListener>(
      new HttpListener(std::move(socket), std::move(handlers)));
}

HttpListener::HttpListener(ObjectPtr<GSocket> socket, Handlers handlers)
    : socket_(std::move(socket)), handlers_(std::move(handlers)) {
  if (!handlers_.write_refusal)
    handlers_.write_refusal = WriteLine;
  WatchForCallers();
  sweep_timer_.StartTimer(kSweepIntervalMs, [this] { Sweep(); });
}

void HttpListener::WatchForCallers() {
  acceptable_.WatchSocket(socket_.get(), G_IO_IN, [this] { Accept(); });
}

void HttpListener::StopListening() {
  acceptable_.Reset();
  socket_.reset();
}

Endpoint HttpListener::endpoint() const {
  return LocalEndpoint(socket_.get());
}

void HttpListener::Accept() {
  for (;;) {
    GError* error = nullptr;
    ObjectPtr<GSocket> socket(g_socket_accept(socket_.get(), nullptr, &error));
    if (socket) {
      AddConnection(std::move(socket));
      continue;
    }
    const bool none_waits =
        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
    g_clear_error(&error);
    // Out of descriptors, the same connection would be reported at once again.
    if (!none_waits)
      acceptable_.StartTimer(kAcceptRetryMs, [this] { WatchForCallers(); });
    return;
  }
}

void HttpListener::RefuseConnection(GSocket* socket) const {
  const OwnBody body = handlers_.write_refusal(kUnavailable);
  const std::string bytes =
      WriteResponseHead(kUnavailable, ReasonOf(kUnavailable), body.fields,
                        BodyFraming::kLength, body.text.size(), false) +
      body.text;
  g_socket_send(socket, bytes.data(), bytes.size(), nullptr, nullptr);
  g_socket_shutdown(socket, FALSE, TRUE, nullptr);
}

void HttpListener::AddConnection(ObjectPtr<GSocket> socket) {
  if (connections_.size() >= max_connections_) {
    RefuseConnection(socket.get());
    return;
  }
  const std::uint64_t id = ++last_connection_;
  Entry& entry = connections_[id];
  CallerConnection::Handlers handlers;
  handlers.on_request = [this, id](RequestHead& head, std::string& body) {
    const std::uint64_t request = ++connections_[id].request;
    handlers_.on_request({id, request}, head, body);
  };
  handlers.on_gone = [this, id] {
    if (handlers_.on_gone)
      handlers_.on_gone({id, connections_[id].request});
  };
  handlers.on_drained = [this, id] {
    if (handlers_.on_drained)
      handlers_.on_drained({id, connections_[id].request});
  };
  handlers.write_refusal = handlers_.write_refusal;
  handlers.on_closed = [this, id] { Discard(id); };
  entry.address = RemoteEndpoint(socket.get()).address;
  entry.connection = std::make_unique<CallerConnection>(
      std::move(socket), limits_, std::move(handlers), LoopNow());
  entry.connection->SetKeeping(keeps_);
}

void HttpListener::Discard(std::uint64_t connection) {
  const auto it = connections_.find(connection);
  if (it == connections_.end())
    return;
  discarded_.push_back(std::move(it->second.connection));
  connections_.erase(it);
  discard_timer_.StartTimer(0, [this] { discarded_.clear(); });
}

void HttpListener::Sweep() {
  sweep_timer_.StartTimer(kSweepIntervalMs, [this] { Sweep(); });
  const TimePoint now = LoopNow();
  std::vector<CallerConnection*> all;
  all.reserve(connections_.size());
  for (const auto& [id, entry] : connections_)
    all.push_back(entry.connection.get());
  for (CallerConnection* it : all)
    it->CheckTimeouts(now);
}

CallerConnection* HttpListener::Find(const CallerRequestId& id) const {
  const auto it = connections_.find(id.connection);
  if (it == connections_.end() || it->second.request != id.request ||
      !it->second.connection->serving()) {
    return nullptr;
  }
  return it->second.connection.get();
}

void HttpListener::Respond(const CallerRequestId& id,
                           int status,
                           const HeaderFields& fields,
                           std::string_view body) {
  if (CallerConnection* it = Find(id))
    it->Respond(status, fields, body, LoopNow());
}

void HttpListener::SendHead(const CallerRequestId& id,
                            int status,
                            std::string_view reason,
                            const HeaderFields& fields,
                            std::optional<std::uint64_t> length) {
  if (CallerConnection* it = Find(id))
    it->SendHead(status, reason, fields, length);
}

void HttpListener::SendBody(const CallerRequestId& id, std::string_view bytes) {
  if (CallerConnection* it = Find(id))
    it->SendBody(bytes);
}

void HttpListener::Finish(const CallerRequestId& id) {
  if (CallerConnection* it = Find(id))
    it->Finish(LoopNow());
}

void HttpListener::Abort(const CallerRequestId& id) {
  if (CallerConnection* it = Find(id))
    it->Abort();
}

std::size_t HttpListener::WaitingBytes(const CallerRequestId& id) const {
  const CallerConnection* it = Find(id);
  return it == nullptr ? 0 : it->waiting_bytes();
}

std::string HttpListener::CallerAddress(const CallerRequestId& id) const {
  const auto found = connections_.find(id.connection);
  return found == connections_.end() ? std::string() : found->second.address;
}

void HttpListener::SetKeeping(bool keeps) {
  keeps_ = keeps;
  for (const auto& [id, entry] : connections_)
    entry.connection->SetKeeping(keeps);
}

void HttpListener::CloseIdle() {
  for (const auto& [id, entry] : connections_)
    entry.connection->CloseIfIdle();
}

std::size_t HttpListener::requests_in_progress() const {
  std::size_t n = 0;
  for (const auto& [id, entry] : connections_) {
    const CallerConnection& it = *entry.connection;
    n += it.serving() || it.waiting_bytes() > 0 ? 1 : 0;
  }
  return n;
}

}  // namespace briarlead
