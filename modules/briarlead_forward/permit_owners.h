#ifndef BRIARLEAD_FORWARD_PERMIT_OWNERS_H_
#define BRIARLEAD_FORWARD_PERMIT_OWNERS_H_

#include <map>
#include <span>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_placement/host_weights.h"
#include "briarlead_routes/routing_message.h"

namespace briarlead {

/// Which entry hosts share out the rate of a server that names a limit. Every
/// host computes them alike by rendezvous hashing of the server: one owner for
/// all, which gives out the whole rate, and one standby in each data centre,
/// for when the owner does not answer from there. All standbys together give
/// out kStandbyShare of the rate, so that owner and standbys together stay
/// below what a server must bear while hosts disagree on who answers.
class PermitOwners {
 public:
  /// Share of a rate that all standbys together give out.
  static constexpr double kStandbyShare = 0.3;
  /// Maximum number of servers whose owners are remembered.
  static constexpr std::size_t kMaxServers = 1024;

  explicit PermitOwners(Endpoint self) : self_(std::move(self)) {}

  /// Sets the entry hosts, this one included.
  void SetHosts(std::span<const EntryHost> hosts,
                const HostWeights& weights = {});

  /// Returns the hosts to ask for permits, the owner first; this host may be
  /// one of them. Empty while the entry hosts are not known.
  [[nodiscard]] const std::vector<Endpoint>& Of(
      const BackendServerId& server) const;
  /// Returns whether this host owns the server's rate.
  [[nodiscard]] bool Owns(const BackendServerId& server) const;
  /// Returns the share of the server's rate that this host gives out.
  [[nodiscard]] double ShareOf(const BackendServerId& server) const;
  [[nodiscard]] const Endpoint& self() const { return self_; }

 private:
  Endpoint self_;
  std::vector<EntryHost> hosts_;
  HostWeights weights_;
  DataCentreId data_centre_;  ///< Of this host.
  std::size_t data_centre_count_ = 0;
  /// The owner and the standby of this host's data centre.
  mutable std::map<BackendServerId, std::vector<Endpoint>> owners_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_PERMIT_OWNERS_H_
