#ifndef BRIARLEAD_REGISTRY_KNOWN_HOSTS_H_
#define BRIARLEAD_REGISTRY_KNOWN_HOSTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
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

  /// Lists of routes up to this size, in bytes, are sent whenever a host lacks
  /// them; a link of an entry host carries several copies at once.
  static constexpr std::size_t kSmallRouteBytes = 32UL * 1024;
  /// Time after which a larger list that a host does not report is sent to it
  /// again. More copies would only delay the ones before them and other news.
  static constexpr Duration kRoutesResendTime = std::chrono::seconds(2);

  /// Maximum size of all larger lists together, in bytes, that are on their way
  /// to hosts. Each is copied several times while a slow link takes it in.
  static constexpr std::size_t kMaxRouteBytesInFlight = 32UL * 1024 * 1024;

  /// Interval at which unchanged weights are told again; in a fleet of 820
  /// hosts they take 20 KB.
  static constexpr Duration kCapacitiesInterval = std::chrono::seconds(30);

  /// Records a heartbeat of the host at `endpoint`. Returns whether the host
  /// was unknown.
  bool OnHeartbeat(const Endpoint& endpoint,
                   const HostHeartbeat& heartbeat,
                   TimePoint now);

  /// Returns whether the list of routes of `version`, which has `bytes`, should
  /// be sent to `endpoint` now: the host lacks it, no large list is on its way
  /// there, and not too much of them to all hosts.
  [[nodiscard]] bool MaySendRoutes(const Endpoint& endpoint,
                                   std::uint64_t version,
                                   std::size_t bytes,
                                   TimePoint now) const;

  /// Records a DirectoryRequest of process `incarnation` at `endpoint`.
  void OnDirectoryRequest(const Endpoint& endpoint,
                          std::uint64_t incarnation,
                          TimePoint now);
  /// Returns whether process `incarnation` at `endpoint` sent a
  /// DirectoryRequest at `since` or later.
  [[nodiscard]] bool HasRequested(const Endpoint& endpoint,
                                  std::uint64_t incarnation,
                                  TimePoint since) const;

  /// Lists of up to this many entry hosts are sent whenever a host lacks them.
  static constexpr std::size_t kSmallHostCount = 32;
  /// Interval at which a longer list is sent to a host that follows this
  /// control host, and to one that follows another. While hundreds of hosts
  /// start, the list changes all the time.
  static constexpr Duration kHostsInterval = std::chrono::milliseconds(1200);
  static constexpr Duration kStandbyHostsInterval = std::chrono::seconds(4);
  /// Interval at which the same list is sent again to a host that knows others:
  /// another control host may hear hosts that this one doesn't.
  static constexpr Duration kSameHostsInterval = std::chrono::seconds(8);
  /// Returns whether the list of entry hosts should be sent to `endpoint` now,
  /// and records that it is.
  bool TakeHostsTurn(const Endpoint& endpoint, bool follows, TimePoint now);
  /// The same for the control hosts, at most once in `interval`.
  bool TakeControlHostsTurn(const Endpoint& endpoint,
                            Duration interval,
                            TimePoint now);

  /// Records that the list of routes of `version` was sent to `endpoint`.
  void OnRoutesSent(const Endpoint& endpoint,
                    std::uint64_t version,
                    std::size_t bytes,
                    TimePoint now);

  /// Records that what was on its way to `endpoint` may be lost.
  void OnLinkFailure(const Endpoint& endpoint);

  /// Records that the list of routes of `version` is in force now.
  void OnRoutesChanged(std::uint64_t version, TimePoint now);

  /// Returns since when the host at `endpoint` lacks the list in force and has
  /// got no other; `now` for an unknown host. Holds only for a host that lacks
  /// the list.
  [[nodiscard]] TimePoint BehindSince(const Endpoint& endpoint,
                                      TimePoint now) const;

  /// The entry hosts that lack the list in force.
  struct HostsBehind {
    std::size_t count = 0;
    Endpoint slowest;  ///< Lacks it for longest.
    Duration longest = Duration::zero();
  };
  [[nodiscard]] HostsBehind FindHostsBehind(TimePoint now) const;

  /// Removes the hosts without a heartbeat for kHostTimeout.
  void Expire(TimePoint now);

  /// Returns the entry hosts, sorted.
  [[nodiscard]] const std::vector<EntryHost>& EntryHosts() const;
  [[nodiscard]] std::uint64_t EntryHostsDigest() const;

  /// Records the weight that the host at `endpoint` reported.
  void OnCapacity(const Endpoint& endpoint, double weight, TimePoint now);

  /// Returns the weights to tell the entry host at `endpoint`: when they have
  /// changed, and every kCapacitiesInterval. Nullopt if there is nothing to
  /// tell.
  std::optional<HostCapacities> TakeCapacitiesFor(const Endpoint& endpoint,
                                                  TimePoint now);

  /// Returns the endpoints of the hosts with `role`, sorted.
  [[nodiscard]] std::vector<Endpoint> EndpointsWithRole(HostRole role) const;

 private:
  struct Host {
    HostHeartbeat heartbeat;
    TimePoint last_heard;
    TimePoint behind_since;          ///< See BehindSince().
    std::uint64_t sent_version = 0;  ///< The latest large list sent to it.
    TimePoint sent_at;
    /// Size of the large list on its way; zero if there is none.
    std::size_t bytes_in_flight = 0;
    std::uint64_t requested_by = 0;  ///< Process of the latest request.
    TimePoint last_request;
    std::optional<TimePoint> hosts_sent_at;
    std::uint64_t hosts_sent = 0;  ///< Digest of the list sent then.
    std::optional<TimePoint> control_hosts_sent_at;
    double weight = 1;
    TimePoint weight_heard;
    std::uint64_t told_revision = 0;  ///< Of the weights.
    TimePoint capacities_told_at;
  };

  /// Brings `entry_hosts_` up to date.
  void UpdateEntryHosts() const;

  /// Returns the size of the large lists on their way to all hosts.
  [[nodiscard]] std::size_t BytesInFlight(TimePoint now) const;

  std::map<Endpoint, Host> hosts_;
  std::uint64_t version_in_force_ = 0;
  /// Kept between changes: each heartbeat of hundreds of hosts compares them.
  mutable std::vector<EntryHost> entry_hosts_;
  mutable std::uint64_t entry_hosts_digest_ = 0;
  mutable bool entry_hosts_changed_ = false;
  std::uint64_t weights_revision_ = 0;  ///< Zero: no weight was reported.
};

}  // namespace briarlead

#endif  // BRIARLEAD_REGISTRY_KNOWN_HOSTS_H_
