#ifndef BRIARLEAD_HTTP_HTTP_SERVER_H_
#define BRIARLEAD_HTTP_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/error.h"
#include "briarlead_core/time.h"
#include "briarlead_http/http_exchange.h"

namespace briarlead {

/// What one caller may cost at most.
struct HttpServerOptions {
  /// Longest request body; a longer one is answered with 413.
  std::size_t max_body_bytes = 4 << 20;
  /// Longest request head; a longer one is answered with 431.
  std::size_t max_header_bytes = 32 << 10;
  /// Most connections open at once; a further one is answered with 503.
  std::size_t max_connections = 20000;
  /// Time that a connection may bring nothing of a request, and the time from a
  /// request's first byte until all of it is there; then 408. A connection that
  /// has carried a request is closed without a word.
  Duration receive_timeout = std::chrono::seconds(20);
};

/// Serves HTTP/1.1 on one address, on GLib's default main context. A connection
/// carries requests one after the other.
class HttpServer {
 public:
  /// Takes one request. The exchange may be answered now or later; when its
  /// last holder lets go of it unanswered, the caller gets a 500.
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  /// Listens on `endpoint` (port 0 picks a free one) and passes each request
  /// to `handler`. Fails with kUnavailable when the address is in use and with
  /// kInvalidArgument when it is no IP address of this machine.
  static Result<std::unique_ptr<HttpServer>> Listen(
      const Endpoint& endpoint,
      const HttpServerOptions& options,
      Handler handler);

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Closes every connection; exchanges in progress see their caller go.
  ~HttpServer();

  /// Takes no further connection and closes the others after their responses.
  /// Exchanges in progress go on.
  void StopListening();

  /// Returns the address in use, with the port that was picked.
  [[nodiscard]] Endpoint endpoint() const;

  /// Returns how many requests have been received (at least their head) and
  /// not yet been answered in full.
  [[nodiscard]] std::size_t active_exchanges() const;

  /// Returns how many connections are open.
  [[nodiscard]] std::size_t connections() const;

 private:
  class Impl;

  explicit HttpServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_HTTP_SERVER_H_
