#ifndef BRIARLEAD_FORWARD_PLACEMENT_OWNERS_H_
#define BRIARLEAD_FORWARD_PLACEMENT_OWNERS_H_

#include <cstddef>
#include <span>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_placement/host_weights.h"
#include "briarlead_routes/routing_message.h"

namespace briarlead {

/// Which entry hosts place model requests. In a small fleet every host places
/// its own, and all of them exchange their load. In a larger one that would
/// cost each host messages in proportion to the number of hosts, so a few
/// owners place the requests of all: two that every host computes alike by
/// rendezvous hashing, in different data centres, and one in the host's own
/// data centre, for when that is cut off from the others.
class PlacementOwners {
 public:
  /// Largest number of entry hosts that all place their own requests.
  static constexpr std::size_t kMaxPlacingHosts = 16;

  PlacementOwners(Endpoint self, DataCentreId data_centre)
      : self_(std::move(self)), data_centre_(std::move(data_centre)) {}

  /// Sets the entry hosts, this one included.
  void SetHosts(std::span<const EntryHost> hosts,
                const HostWeights& weights = {});

  /// Returns whether the fleet is so small that every host places its own
  /// requests and all of them exchange their load.
  [[nodiscard]] bool all_place() const { return all_place_; }
  /// Returns whether this host places its own requests.
  [[nodiscard]] bool places_locally() const { return places_locally_; }
  /// Returns whether this host places the requests of other hosts.
  [[nodiscard]] bool owns_engines() const { return owns_engines_; }
  /// Returns the hosts to ask for a placement, in this order; never this host.
  [[nodiscard]] const std::vector<Endpoint>& owners() const { return owners_; }
  /// Returns the hosts that must know this host's load.
  [[nodiscard]] const std::vector<Endpoint>& load_receivers() const {
    return load_receivers_;
  }
  [[nodiscard]] const DataCentreId& data_centre() const { return data_centre_; }

 private:
  Endpoint self_;
  DataCentreId data_centre_;
  bool all_place_ = true;
  bool places_locally_ = true;
  bool owns_engines_ = false;
  std::vector<Endpoint> owners_;
  std::vector<Endpoint> load_receivers_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_PLACEMENT_OWNERS_H_
