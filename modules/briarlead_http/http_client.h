#ifndef BRIARLEAD_HTTP_HTTP_CLIENT_H_
#define BRIARLEAD_HTTP_HTTP_CLIENT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "briarlead_core/error.h"
#include "briarlead_http/http_types.h"

namespace briarlead {

struct ClientCalls;

/// How a call ended.
struct HttpCallEnd {
  /// Empty when the whole response has come, whatever its status.
  std::optional<Error> error;
  /// False only when it is certain that no byte of the request has left.
  bool request_may_have_left = true;

  [[nodiscard]] bool ok() const { return !error.has_value(); }
};

/// What a call reports, from the loop and never from within Send(). Each may
/// destroy the call.
struct HttpCallHandler {
  /// The response's head has come.
  std::function<void(int status, const HeaderFields& headers)> on_head;
  /// A part of the body has come, in order.
  std::function<void(std::string_view data)> on_data;
  /// The call is over; called once, last. Not called after the HttpCall has
  /// been destroyed.
  std::function<void(const HttpCallEnd& end)> on_done;
};

/// A call in progress. Destroying it aborts the call and closes its
/// connection, so that the server sees the caller go.
class HttpCall {
 public:
  HttpCall() = default;
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;
  virtual ~HttpCall() = default;

  /// Reads no more of the body until ResumeReading(); the server is held back
  /// by TCP flow control.
  virtual void PauseReading() = 0;
  virtual void ResumeReading() = 0;

  /// Returns false only when it is certain that no byte of the request has
  /// left.
  [[nodiscard]] virtual bool request_may_have_left() const = 0;
};

/// Limits of an HttpClient.
struct HttpClientOptions {
  /// Most calls, and so connections in use, at once.
  std::size_t max_connections = 30000;
  /// Time that an unused connection is kept whose server states none.
  Duration idle_timeout = std::chrono::seconds(5);
};

/// Sends HTTP/1.1 requests on GLib's default main context and keeps
/// connections alive between them, but sends methods that are not idempotent
/// (POST, PATCH) over new ones. It follows no redirect, uses no proxy, no
/// cookies and no stored credentials, and never sends a request twice.
class HttpClient {
 public:
  explicit HttpClient(const HttpClientOptions& options = {});
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Aborts the calls in progress without calling their handlers.
  ~HttpClient();

  /// Begins a call. Every failure is reported by `on_done`.
  [[nodiscard]] std::unique_ptr<HttpCall> Send(HttpRequest request,
                                               HttpCallHandler handler);

  /// Returns how many calls are in progress.
  [[nodiscard]] std::size_t active_calls() const;

 private:
  std::shared_ptr<ClientCalls> calls_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_HTTP_CLIENT_H_
