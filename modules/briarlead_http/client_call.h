#ifndef BRIARLEAD_HTTP_CLIENT_CALL_H_
#define BRIARLEAD_HTTP_CLIENT_CALL_H_

#include <cstddef>
#include <memory>
#include <set>
#include <string_view>

#include "briarlead_http/http_client.h"
#include "briarlead_net/glib_handles.h"
#include "briarlead_wire/upstream_pool.h"

namespace briarlead {

class ClientCall;

/// What a client and its calls share; calls may outlive the client.
struct ClientCalls {
  explicit ClientCalls(const HttpClientOptions& limits)
      : options(limits), pool(limits.idle_timeout) {}

  HttpClientOptions options;
  UpstreamPool pool;
  std::set<ClientCall*> open;
  SourceHandle sweep_timer;
};

/// One call of an HttpClient over one UpstreamCall.
class ClientCall : public std::enable_shared_from_this<ClientCall> {
 public:
  ClientCall(const std::shared_ptr<ClientCalls>& all,
             HttpRequest request,
             HttpCallHandler handler);
  ~ClientCall();
  ClientCall(const ClientCall&) = delete;
  ClientCall& operator=(const ClientCall&) = delete;

  /// Begins the call.
  void Start(TimePoint now);

  /// Ends the call without a report and closes its connection.
  void Abort();

  void SetReading(bool reading);

  [[nodiscard]] bool request_may_have_left() const;

 private:
  [[nodiscard]] UpstreamHandlers MakeHandlers();
  void StartFirstByteTimer();
  void OnHead(const ResponseHead& head);
  void OnFailure(UpstreamFailure failure);
  void End(std::optional<Error> error);
  void EndLater(Error error);

  std::weak_ptr<ClientCalls> all_;
  HttpRequest request_;
  HttpCallHandler handler_;
  std::unique_ptr<UpstreamCall> call_;
  SourceHandle timer_;
  bool ended_ = false;
  bool had_left_ = false;  ///< What request_may_have_left() says after the end.
};

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_CLIENT_CALL_H_
