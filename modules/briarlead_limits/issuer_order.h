#ifndef BRIARLEAD_LIMITS_ISSUER_ORDER_H_
#define BRIARLEAD_LIMITS_ISSUER_ORDER_H_

#include <cstddef>
#include <span>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_routes/routing_message.h"

namespace briarlead {

/// Returns the hosts of `data_centre`, with `self` even if the list lacks it.
std::vector<EntryHost> HostsOfDataCentre(std::span<const EntryHost> hosts,
                                         const Endpoint& self,
                                         const DataCentreId& data_centre);

/// Returns the first `count` of `hosts` in the order in which they issue the
/// amounts of `account`. Every host finds the same order.
std::vector<Endpoint> IssuerOrder(std::span<const EntryHost> hosts,
                                  const CustomerId& account,
                                  std::size_t count);

}  // namespace briarlead

#endif  // BRIARLEAD_LIMITS_ISSUER_ORDER_H_
