#ifndef BRIARLEAD_HTTP_SERVER_EXCHANGE_H_
#define BRIARLEAD_HTTP_SERVER_EXCHANGE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "briarlead_http/http_exchange.h"
#include "briarlead_net/glib_handles.h"
#include "briarlead_wire/http_listener.h"

namespace briarlead {

class ServerExchange;

/// What a server and the exchanges in progress share; exchanges may outlive
/// it.
struct ServerExchanges {
  std::unique_ptr<HttpListener> listener;
  std::map<CallerRequestId, ServerExchange*> open;
};

/// One request that an HttpListener handed out. Letting go of it before its
/// response is complete answers with a 500, or cuts off what has begun.
class ServerExchange : public HttpExchange,
                       public std::enable_shared_from_this<ServerExchange> {
 public:
  ServerExchange(const std::shared_ptr<ServerExchanges>& all,
                 const CallerRequestId& id,
                 RequestHead head,
                 std::string body);
  ~ServerExchange() override;

  /// Takes note that the caller has gone.
  void OnGone();
  /// Takes note that nothing of the response waits in this process.
  void OnDrained();

  // HttpExchange:
  [[nodiscard]] std::string_view method() const override {
    return head_.method;
  }
  [[nodiscard]] std::string_view path() const override { return head_.path(); }
  [[nodiscard]] std::string_view query() const override {
    return head_.query();
  }
  [[nodiscard]] std::optional<std::string_view> Header(
      std::string_view name) const override {
    return head_.fields.Find(name);
  }
  [[nodiscard]] HeaderFields headers() const override { return head_.fields; }
  [[nodiscard]] std::string_view body() const override { return body_; }
  void Respond(HttpResponse response) override;
  void StartStream(int status,
                   HeaderFields headers,
                   std::string_view content_type) override;
  void Write(std::string_view data) override;
  void FinishStream() override;
  void Abort() override;
  [[nodiscard]] std::size_t pending_bytes() const override;
  void SetGoneHandler(std::function<void()> handler) override;
  void SetDrainedHandler(std::function<void()> handler) override;
  [[nodiscard]] bool gone() const override { return gone_; }
  [[nodiscard]] bool responded() const override {
    return state_ != State::kWaiting;
  }

 private:
  enum class State { kWaiting, kStreaming, kOver };

  /// Ends the exchange; returns the listener, or null when it is gone.
  HttpListener* End();
  [[nodiscard]] HttpListener* listener() const;

  std::weak_ptr<ServerExchanges> all_;
  CallerRequestId id_;
  RequestHead head_;
  std::string body_;
  State state_ = State::kWaiting;
  bool gone_ = false;
  std::function<void()> gone_handler_;
  std::function<void()> drained_handler_;
  SourceHandle late_report_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_SERVER_EXCHANGE_H_
