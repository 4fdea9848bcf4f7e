#ifndef BRIARLEAD_FORWARD_PERMIT_ISSUER_H_
#define BRIARLEAD_FORWARD_PERMIT_ISSUER_H_

#include <chrono>
#include <cstdint>
#include <map>

#include "briarlead_core/time.h"
#include "briarlead_forward/permit_owners.h"
#include "briarlead_forward/server_limits.h"
#include "briarlead_routes/server_limit_message.h"

namespace briarlead {

/// Shares out the rates of the servers that this host owns: one permit for each
/// request, evenly spaced in time, first come first served. What isn't asked
/// for is lost, and the first permit comes one interval after the first
/// question, so that neither a restart nor a change of owners adds a burst.
class PermitIssuer {
 public:
  /// Least rate, in requests per second. A server that takes nothing is still
  /// asked now and then, or the end of its limit would never be heard.
  static constexpr double kMinRate = 0.2;
  /// How far ahead permits are given out at most.
  static constexpr Duration kMaxAhead = std::chrono::seconds(1);
  /// Most permits in one reply.
  static constexpr std::uint32_t kMaxGranted = 16;
  /// Least time until a host that got no permit asks again, for each host that
  /// has got none since the last permit, and its most: many hosts that want the
  /// same server must not ask all the time.
  static constexpr Duration kNextInPerRefusal = std::chrono::milliseconds(10);
  static constexpr Duration kMaxNextIn = std::chrono::milliseconds(500);

  PermitIssuer(ServerLimits& limits, const PermitOwners& owners)
      : limits_(limits), owners_(owners) {}

  /// Answers the question of a host, this one included.
  SendPermitReply OnRequest(const SendPermitRequest& request, TimePoint now);

  /// Forgets servers without a limit.
  void Expire();

 private:
  struct Schedule {
    TimePoint next_start;
    std::int64_t refusals = 0;  ///< Since the last permit.
  };

  ServerLimits& limits_;
  const PermitOwners& owners_;
  std::map<ServerIncarnation, Schedule> schedules_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_PERMIT_ISSUER_H_
