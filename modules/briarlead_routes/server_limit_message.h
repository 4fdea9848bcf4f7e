#ifndef BRIARLEAD_ROUTES_SERVER_LIMIT_MESSAGE_H_
#define BRIARLEAD_ROUTES_SERVER_LIMIT_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

#include "briarlead_core/time.h"
#include "briarlead_routes/server_record.h"

namespace briarlead {

/// Rate of a server that takes any number of requests.
inline constexpr double kNoRateLimit = std::numeric_limits<double>::infinity();

/// The rate limit that a server named in an answer.
struct ServerLimitNotice {
  ServerIncarnation server;
  /// Requests per second that the server takes from all hosts together;
  /// kNoRateLimit if it names no limit any more.
  double per_second = kNoRateLimit;
  Duration age = Duration::zero();  ///< Time since a host read the answer.

  friend bool operator==(const ServerLimitNotice&,
                         const ServerLimitNotice&) = default;
};

/// The limits that the sender read itself, or that it relays as their owner.
struct ServerLimitReport {
  /// Maximum number of entries in one message.
  static constexpr std::size_t kMaxNotices = 24;

  std::vector<ServerLimitNotice> notices;

  friend bool operator==(const ServerLimitReport&,
                         const ServerLimitReport&) = default;
};

/// Asks the host that shares out a server's rate for permits to send to it.
struct SendPermitRequest {
  std::uint32_t number = 0;  ///< Identifies the question on its host.
  ServerLimitNotice limit;   ///< As the sender knows it.
  std::uint32_t wanted = 1;  ///< Permits for one request each.
  /// How much later than now a permit may start.
  Duration within = Duration::zero();

  friend bool operator==(const SendPermitRequest&,
                         const SendPermitRequest&) = default;
};

/// The response to a SendPermitRequest.
struct SendPermitReply {
  std::uint32_t number = 0;   ///< As in the request.
  ServerLimitNotice limit;    ///< As the sender knows it.
  std::uint32_t granted = 0;  ///< Permits, at most as many as were wanted.
  /// Until the start of the first permit, or of the first one that is free.
  Duration starts_in = Duration::zero();
  Duration spacing = Duration::zero();  ///< From one permit to the next.
  /// Without a permit, when to ask again.
  Duration next_in = Duration::zero();

  friend bool operator==(const SendPermitReply&,
                         const SendPermitReply&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_SERVER_LIMIT_MESSAGE_H_
