#ifndef BRIARLEAD_ROUTES_DIRECTORY_FOLLOWER_H_
#define BRIARLEAD_ROUTES_DIRECTORY_FOLLOWER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_routes/directory_source.h"
#include "briarlead_routes/routing_message.h"
#include "briarlead_routes/server_directory.h"

namespace briarlead {

/// Keeps the directory of one host up to date by requests to the control hosts.
/// An entry host follows one of them: that one sends all changes. The others
/// confirm that this host has what they have, and send the few changes that it
/// lacks. A control host follows all others.
class DirectoryFollower {
 public:
  enum class Follows { kOneSource, kAllSources };

  /// Time for which a better source must have answered before this host changes
  /// to it.
  static constexpr Duration kReturnTime = std::chrono::seconds(5);
  /// Interval at which servers that are not silent are noted as heard.
  static constexpr Duration kRefreshInterval = std::chrono::seconds(1);
  /// Age that such servers are noted with. Placement passes over servers
  /// without a recent announcement while others have one, so with an age of
  /// kSilentAge only servers that have just started would get requests.
  static constexpr Duration kAssumedAge = std::chrono::seconds(2);

  /// `directory` must outlive the object. `self` spreads the hosts over the
  /// sources.
  DirectoryFollower(ServerDirectory& directory, Endpoint self, Follows follows);

  /// Sets the control hosts, and decides which one to follow. Must be called
  /// before each round of heartbeats.
  void SetSources(std::span<const Endpoint> sources, TimePoint now);

  /// Returns the request to send with `heartbeat`, if this is the time for one.
  std::optional<DirectoryRequest> TakeRequest(const Endpoint& source,
                                              const HostHeartbeat& heartbeat,
                                              TimePoint now);
  /// Returns whether `source` needs a HostHeartbeat, as those of an older build
  /// do.
  [[nodiscard]] bool WantsHeartbeat(const Endpoint& source,
                                    TimePoint now) const;

  /// Records that process `incarnation` of `source` sent any message.
  void OnProcess(const Endpoint& source, std::uint64_t incarnation);

  /// Takes in an update; returns the servers that changed.
  std::vector<AnnouncedServer> OnUpdate(const Endpoint& source,
                                        const DirectoryUpdate& update,
                                        TimePoint now);

  /// Returns whether `source` answers requests, so that only its confirmations
  /// say that the directory here is as new as its own.
  [[nodiscard]] bool Answers(const Endpoint& source, TimePoint now) const;
  [[nodiscard]] TimePoint LastConfirmed(const Endpoint& source) const;
  [[nodiscard]] const std::optional<Endpoint>& followed() const {
    return followed_;
  }

 private:
  [[nodiscard]] bool IsFollowed(const Endpoint& source) const;
  /// Returns the source that this host should follow.
  [[nodiscard]] std::optional<Endpoint> BestSource(TimePoint now) const;
  void Follow(const std::optional<Endpoint>& source);
  /// Merges `servers`; returns those that changed.
  std::vector<AnnouncedServer> Merge(const DirectoryUpdate& update,
                                     TimePoint now);
  /// Notes which servers the followed source told of, and which it didn't hear.
  void UpdateSilence(const DirectoryUpdate& update);
  void Refresh(TimePoint now);
  void OnHeardList(const DirectoryUpdate& update, TimePoint now);

  ServerDirectory& directory_;
  Endpoint self_;
  Follows follows_;
  std::map<Endpoint, DirectorySource> sources_;
  std::optional<Endpoint> followed_;
  /// Servers that the followed source knows and that are not silent there.
  std::set<BackendServerId> recent_;
  /// Servers that are silent at the followed source.
  std::set<BackendServerId> silent_;
  bool knows_silent_ = false;
  std::uint64_t recent_revision_ = 0;  ///< Directory's revision for `recent_`.
  TimePoint next_refresh_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_DIRECTORY_FOLLOWER_H_
