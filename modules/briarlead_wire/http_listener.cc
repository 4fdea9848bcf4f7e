#include "briarlead_wire/http_listener.h"

#include <algorithm>
#include <utility>

#include "briarlead_net/loop_clock.h"

namespace briarlead {

namespace {

constexpr int kBacklog = 4096;
constexpr guint kSweepIntervalMs = 500;
/// Pause after which connections are taken again when descriptors run out.
constexpr guint kAcceptRetryMs = 100;

/// Interval at which connections that wait for memory are tried.
constexpr guint kResumeIntervalMs = 20;
/// Part of the connections that are closed together when there are too many, so
/// that a crowd doesn't cause a search for each of its connections.
constexpr std::size_t kClosedTogetherPart = 16;
/// Pause between searches that have found no connection to close.
constexpr Duration kSearchInterval = std::chrono::milliseconds(100);

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
    const std::size_t kept =
        max_connections_ -
        std::max<std::size_t>(1, max_connections_ / kClosedTogetherPart);
    MakeRoom(Closability::kIdle, [&] { return connections_.size() > kept; });
  }
  if (connections_.size() >= max_connections_) {
    budget_->CountRefusal(MemoryRefusal::kConnection);
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
  handlers.on_paused = [this, id] {
    paused_.push_back(id);
    if (!resume_timer_.active())
      resume_timer_.StartTimer(kResumeIntervalMs, [this] { ResumePaused(); });
  };
  handlers.write_refusal = handlers_.write_refusal;
  handlers.on_closed = [this, id] { Discard(id); };
  entry.address = RemoteEndpoint(socket.get()).address;
  entry.connection = std::make_unique<CallerConnection>(
      std::move(socket), limits_, *budget_, std::move(handlers), LoopNow());
  entry.connection->SetKeeping(keeps_);
}

void HttpListener::Discard(std::uint64_t connection) {
  const auto it = connections_.find(connection);
  if (it == connections_.end())
    return;
  discarded_.push_back(std::move(it->second.connection));
  connections_.erase(it);
  // Not again while it is due: under load it would never fire.
  if (!discard_timer_.active())
    discard_timer_.StartTimer(0, [this] { discarded_.clear(); });
}

void HttpListener::ResumePaused() {
  const TimePoint now = LoopNow();
  const std::deque<std::uint64_t> ids = std::exchange(paused_, {});
  std::deque<std::uint64_t> left;
  for (const std::uint64_t it : ids) {
    const auto found = connections_.find(it);
    if (found != connections_.end() && found->second.connection->Resume(now))
      left.push_back(it);
  }
  // A connection that went on may be paused once more.
  for (const std::uint64_t it : paused_) {
    if (std::find(left.begin(), left.end(), it) == left.end())
      left.push_back(it);
  }
  paused_ = std::move(left);
  if (!paused_.empty())
    resume_timer_.StartTimer(kResumeIntervalMs, [this] { ResumePaused(); });
}

void HttpListener::MakeRoom(Closability first,
                            const std::function<bool()>& goes_on) {
  const TimePoint now = LoopNow();
  if (now < next_search_)
    return;
  struct Candidate {
    std::pair<Closability, TimePoint> order;
    std::uint64_t id;
  };
  std::vector<Candidate> all;
  for (const auto& [id, entry] : connections_) {
    const auto order = entry.connection->closability(now);
    if (order.first >= first && order.first != Closability::kInProgress)
      all.push_back({order, id});
  }
  if (all.empty() && first == Closability::kIdle)
    next_search_ = now + kSearchInterval;
  std::sort(all.begin(), all.end(), [](const Candidate& a, const Candidate& b) {
    return a.order < b.order;
  });
  for (const Candidate& it : all) {
    if (!goes_on())
      return;
    budget_->CountRefusal(it.order.first == Closability::kUnread
                              ? MemoryRefusal::kUnreadResponse
                              : MemoryRefusal::kIdleClosed);
    connections_.at(it.id).connection->Drop();
  }
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
  if (budget_->IsOver())
    MakeRoom(Closability::kIdle, [this] { return budget_->IsOver(); });
  if (budget_->UnsentIsInTheWay())
    MakeRoom(Closability::kUnread,
             [this] { return budget_->UnsentIsInTheWay(); });
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

void HttpListener::SendBody(const CallerRequestId& id,
                            std::shared_ptr<const std::string> bytes) {
  if (CallerConnection* it = Find(id))
    it->SendBody(std::move(bytes));
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
