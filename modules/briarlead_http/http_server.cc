#include "briarlead_http/http_server.h"

#include <string>
#include <utility>
#include <vector>

#include "briarlead_http/problem_details.h"
#include "briarlead_http/server_exchange.h"

namespace briarlead {

namespace {

/// A caller whose machine is lost without a sign is noticed after this.
constexpr Duration kUnacknowledgedTimeoutOfCallers = std::chrono::seconds(30);
/// A caller that takes nothing of its response for this long counts as gone.
constexpr Duration kUnreadTimeout = std::chrono::seconds(60);
/// When a caller may come back whose request was not taken.
constexpr Duration kRetryAfterRefusal = std::chrono::seconds(1);

OwnBody WriteRefusal(int status) {
  HttpResponse response =
      ToHttpResponse({.status = status,
                      .title = std::string(ReasonOf(status)),
                      .execution = Execution::kNotRun,
                      .retry_after = kRetryAfterRefusal});
  response.headers.Add("Content-Type", response.content_type);
  return {std::move(response.headers), std::move(response.body)};
}

CallerLimits LimitsOf(const HttpServerOptions& options) {
  CallerLimits limits;
  limits.message.max_head_bytes =
      static_cast<std::uint32_t>(options.max_header_bytes);
  limits.message.max_body_bytes = options.max_body_bytes;
  limits.head_timeout = options.receive_timeout;
  limits.idle_timeout = options.receive_timeout;
  limits.unread_timeout = kUnreadTimeout;
  limits.unacknowledged_timeout = kUnacknowledgedTimeoutOfCallers;
  limits.tells_first_timeout = true;
  return limits;
}

}  // namespace

class HttpServer::Impl {
 public:
  explicit Impl(Handler handler) : handler_(std::move(handler)) {}

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  ~Impl() {
    const std::shared_ptr<ServerExchanges> all = std::move(all_);
    all->listener.reset();
    std::vector<std::shared_ptr<ServerExchange>> gone;
    for (const auto& [id, it] : all->open)
      gone.push_back(it->shared_from_this());
    for (const auto& it : gone)
      it->OnGone();
  }

  Result<void> Listen(const Endpoint& endpoint,
                      const HttpServerOptions& options) {
    HttpListener::Handlers handlers;
    handlers.on_request = [this](const CallerRequestId& id, RequestHead& head,
                                 std::string& body) {
      OnRequest(id, head, body);
    };
    handlers.on_gone = [this](const CallerRequestId& id) {
      if (const auto it = Find(id))
        it->OnGone();
    };
    handlers.on_drained = [this](const CallerRequestId& id) {
      if (const auto it = Find(id))
        it->OnDrained();
    };
    handlers.write_refusal = WriteRefusal;
    BOOST_OUTCOME_TRY(all_->listener,
                      HttpListener::Listen(endpoint, std::move(handlers)));
    all_->listener->SetLimits(LimitsOf(options));
    all_->listener->SetMaxConnections(options.max_connections);
    endpoint_ = all_->listener->endpoint();
    return outcome::success();
  }

  HttpListener& listener() { return *all_->listener; }
  [[nodiscard]] const Endpoint& endpoint() const { return endpoint_; }

 private:
  void OnRequest(const CallerRequestId& id,
                 RequestHead& head,
                 std::string& body) {
    auto exchange = std::make_shared<ServerExchange>(all_, id, std::move(head),
                                                     std::move(body));
    all_->open[id] = exchange.get();
    handler_(std::move(exchange));
  }

  [[nodiscard]] std::shared_ptr<ServerExchange> Find(
      const CallerRequestId& id) const {
    const auto it = all_->open.find(id);
    return it == all_->open.end() ? nullptr : it->second->shared_from_this();
  }

  Handler handler_;
  Endpoint endpoint_;
  std::shared_ptr<ServerExchanges> all_ = std::make_shared<ServerExchanges>();
};

HttpServer::HttpServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

HttpServer::~HttpServer() = default;

Result<std::unique_ptr<HttpServer>> HttpServer::Listen(
    const Endpoint& endpoint,
    const HttpServerOptions& options,
    Handler handler) {
  auto impl = std::make_unique<Impl>(std::move(handler));
  BOOST_OUTCOME_TRY(impl->Listen(endpoint, options));
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

void HttpServer::StopListening() {
  impl_->listener().StopListening();
  impl_->listener().SetKeeping(false);
  impl_->listener().CloseIdle();
}

Endpoint HttpServer::endpoint() const {
  return impl_->endpoint();
}

std::size_t HttpServer::active_exchanges() const {
  return impl_->listener().requests_in_progress();
}

std::size_t HttpServer::connections() const {
  return impl_->listener().connection_count();
}

}  // namespace briarlead
