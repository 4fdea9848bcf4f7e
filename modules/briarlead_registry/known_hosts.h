#ifndef BRIARLEAD_REGISTRY_KNOWN_HOSTS_H_
#define BRIARLEAD_REGISTRY_KNOWN_HOSTS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/time.h"
#include "briarlead_routes/routing_message.h"

namespace briarlead {

/// The hosts that sent a heartbeat recently, keyed by the endpoint at which
/// they receive frames.
class KnownHosts {
 public:
  /// Time without a heartbeat after which a host is removed.
  static constexpr Duration kHostTimeout = std::chrono::seconds(8);

  /// Records a heartbeat of the host at `endpoint`. Returns whether the host
  /// was unknown.
  bool OnHeartbeat(const Endpoint& endpoint,
                   const HostHeartbeat& heartbeat,
                   TimePoint now);

  /// Removes the hosts without a heartbeat for kHostTimeout.
  void Expire(TimePoint now);

  /// Returns the entry hosts, sorted.
  [[nodiscard]] std::vector<EntryHost> EntryHosts() const;

  /// Returns the endpoints of the hosts with `role`, sorted.
  [[nodiscard]] std::vector<Endpoint> EndpointsWithRole(HostRole role) const;

 private:
  struct Host {
    HostHeartbeat heartbeat;
    TimePoint last_heard;
  };

  std::map<Endpoint, Host> hosts_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_REGISTRY_KNOWN_HOSTS_H_
