#ifndef BRIARLEAD_HTTP_HTTP_EXCHANGE_H_
#define BRIARLEAD_HTTP_HTTP_EXCHANGE_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string_view>

#include "briarlead_http/http_types.h"

namespace briarlead {

/// One request of a caller and the one response to it. HttpServer makes them;
/// tests may implement their own. Calls after the response is complete, or
/// after the caller has gone, are ignored.
class HttpExchange {
 public:
  HttpExchange() = default;
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  virtual ~HttpExchange() = default;

  /// Returns the method, for example "POST".
  [[nodiscard]] virtual std::string_view method() const = 0;

  /// Returns the path, still percent-encoded, without the query.
  [[nodiscard]] virtual std::string_view path() const = 0;

  /// Returns the query, still percent-encoded, without its "?"; may be empty.
  [[nodiscard]] virtual std::string_view query() const = 0;

  /// Returns the value of the first request header called `name` (case
  /// ignored). The view holds as long as the exchange.
  [[nodiscard]] virtual std::optional<std::string_view> Header(
      std::string_view name) const = 0;

  /// Returns all request headers in the order in which they came.
  [[nodiscard]] virtual HeaderFields headers() const = 0;

  /// Returns the whole request body. The view holds as long as the exchange.
  [[nodiscard]] virtual std::string_view body() const = 0;

  /// Answers with a whole response. Ignored once a response has begun.
  virtual void Respond(HttpResponse response) = 0;

  /// Begins a streamed response. Ignored once a response has begun.
  virtual void StartStream(int status,
                           HeaderFields headers,
                           std::string_view content_type) = 0;

  /// Sends `data` as part of the streamed response.
  virtual void Write(std::string_view data) = 0;

  /// Ends the streamed response after all that was written.
  virtual void FinishStream() = 0;

  /// Drops the connection with the response unfinished, so that the caller can
  /// tell that it is cut short.
  virtual void Abort() = 0;

  /// Returns how many bytes of the streamed response wait in this process.
  [[nodiscard]] virtual std::size_t pending_bytes() const = 0;

  /// Calls `handler` once when the caller goes before the response is complete
  /// here, also while nothing is being written. A caller that closes only its
  /// sending side counts as gone. Replaces an earlier handler; called at once,
  /// from the loop, if the caller has gone already.
  virtual void SetGoneHandler(std::function<void()> handler) = 0;

  /// Calls `handler` each time pending_bytes() has fallen to zero from above.
  /// Replaces an earlier handler.
  virtual void SetDrainedHandler(std::function<void()> handler) = 0;

  /// Returns true once the caller has gone.
  [[nodiscard]] virtual bool gone() const = 0;

  /// Returns true once Respond() or StartStream() took effect.
  [[nodiscard]] virtual bool responded() const = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_HTTP_EXCHANGE_H_
