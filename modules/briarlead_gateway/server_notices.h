#ifndef BRIARLEAD_GATEWAY_SERVER_NOTICES_H_
#define BRIARLEAD_GATEWAY_SERVER_NOTICES_H_

#include <functional>
#include <string>
#include <string_view>

#include "briarlead_core/logger.h"
#include "briarlead_forward/server_notice.h"
#include "briarlead_gateway/request_codec.h"
#include "briarlead_wire/http_head.h"

namespace briarlead {

/// Reads what the heads of servers' answers say of the servers, logs it, and
/// records it for answers that no request of this host waits for. Those it
/// waits for are recorded by ForwardFlow.
class ServerNotices {
 public:
  ServerNotices(const RequestCodec& codec,
                ServerPool& pool,
                ServerLimits& limits,
                Logger& logger)
      : codec_(codec), pool_(pool), limits_(limits), logger_(logger) {}

  /// Returns the facts of an answer of `server`; `request` names the request
  /// for which it came, `is_late` says that none waits for it.
  ResponseFacts Read(const ServerIncarnation& server,
                     const ResponseHead& head,
                     std::string_view request,
                     bool is_late,
                     TimePoint now) const;

  /// As Read(), and records the facts. The answer is another's, or comes for an
  /// attempt that was left, sent at `sent_at`.
  void Record(const ServerIncarnation& server,
              const ResponseHead& head,
              std::string_view request,
              TimePoint sent_at,
              TimePoint now);

  /// Returns a handler that records each head that it is given.
  std::function<void(const ResponseHead& head)> RecorderOf(
      const ServerIncarnation& server,
      std::string request,
      TimePoint sent_at);

 private:
  const RequestCodec& codec_;
  ServerPool& pool_;
  ServerLimits& limits_;
  Logger& logger_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_GATEWAY_SERVER_NOTICES_H_
