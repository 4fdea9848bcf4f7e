#ifndef BRIARLEAD_GATEWAY_RELAY_SERVICE_H_
#define BRIARLEAD_GATEWAY_RELAY_SERVICE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "briarlead_core/error.h"
#include "briarlead_core/logger.h"
#include "briarlead_forward/send_gate.h"
#include "briarlead_forward/server_pool.h"
#include "briarlead_gateway/relay_codec.h"
#include "briarlead_gateway/request_codec.h"
#include "briarlead_gateway/server_checker.h"
#include "briarlead_gateway/server_notices.h"
#include "briarlead_net/glib_handles.h"
#include "briarlead_wire/http_listener.h"
#include "briarlead_wire/upstream_pool.h"

namespace briarlead {

/// Passes requests of other entry hosts on to servers that they don't reach,
/// and the responses back. It decides only whether it can: the other host has
/// chosen the server and counts its attempts. What arrives here is never passed
/// on to a third host. The key of an account's request must be valid here too:
/// the other host may have been frozen since it sent the request.
class RelayService {
 public:
  /// Requests that are passed on at a time; further ones are refused.
  static constexpr std::size_t kMaxRequests = 128;
  /// Bytes of their bodies, together.
  static constexpr std::size_t kMaxBodyBytes = 8UL << 20;
  /// Bytes of a response that may wait for the other host; while more wait,
  /// nothing is read from the server.
  static constexpr std::size_t kMaxWaitingBytes = 65536;

  /// What the service shares with the requests of this host.
  struct Environment {
    UpstreamPool& servers;
    const ServerDirectory& directory;
    ServerPool& pool;
    const RequestCodec& codec;
    ServerChecker& checker;
    ServerNotices& notices;
    const SendGate& gate;
    Logger& logger;
  };

  /// Listens on `endpoint`. Errors: those of HttpListener::Listen().
  static Result<std::unique_ptr<RelayService>> Listen(const Endpoint& endpoint,
                                                      const RelayCodec& codec,
                                                      Environment environment);

  /// As HttpListener::SetMemoryBudget() and SetMaxConnections().
  void SetMemoryLimits(MemoryBudget& budget, std::size_t max_connections);
  /// Limits of the messages of callers; the fields of hosts come on top.
  void SetLimits(const MessageLimits& limits);
  /// Refuses further requests; those in progress go on.
  void Stop();
  /// Returns the number of requests in progress.
  [[nodiscard]] std::size_t size() const { return requests_.size(); }
  /// Returns the number of requests that were passed on.
  [[nodiscard]] std::uint64_t passed_on() const { return passed_on_; }

 private:
  /// A request that is being passed on.
  struct Request {
    std::string id;   ///< That its caller gave it.
    std::string tag;  ///< Of the request, as the other host signed it.
    ServerRecord server;
    TimePoint sent_at;
    std::size_t body_bytes = 0;
    std::unique_ptr<UpstreamCall> call;
    ResponseHead head;
    bool head_sent = false;
  };

  RelayService(const RelayCodec& codec, Environment environment);

  void OnRequest(const CallerRequestId& id,
                 RequestHead& head,
                 std::string& body);
  /// Returns why the request of `order` can't be passed on; nullopt if it can.
  [[nodiscard]] std::optional<RelayRefusal> CheckOrder(const RelayOrder& order,
                                                       std::size_t body_bytes,
                                                       TimePoint now) const;
  void Send(const CallerRequestId& id,
            Request request,
            const RequestHead& head,
            std::string body,
            bool needs_fresh_connection);
  void Refuse(const CallerRequestId& id,
              RelayRefusal why,
              const std::string& request,
              const std::string& tag);
  void OnHead(const CallerRequestId& id, ResponseHead& head);
  void OnBody(const CallerRequestId& id, std::string_view bytes);
  void OnComplete(const CallerRequestId& id);
  void OnFailure(const CallerRequestId& id, UpstreamFailure failure);
  void SendHead(const CallerRequestId& id,
                Request& request,
                std::optional<std::uint64_t> length);
  void SetReading(const CallerRequestId& id, bool reading);
  /// Ends a request; its connection is kept if the response was complete.
  void End(const CallerRequestId& id);

  const RelayCodec& codec_;
  Environment environment_;
  std::unique_ptr<HttpListener> hosts_;
  std::map<CallerRequestId, Request> requests_;
  std::size_t body_bytes_ = 0;
  std::uint64_t passed_on_ = 0;
  bool stopping_ = false;
  /// Calls that ended, destroyed from the loop: they may be on the call stack.
  std::vector<std::unique_ptr<UpstreamCall>> finished_;
  SourceHandle cleanup_timer_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_GATEWAY_RELAY_SERVICE_H_
