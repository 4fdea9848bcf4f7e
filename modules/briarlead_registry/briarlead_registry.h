#ifndef BRIARLEAD_REGISTRY_BRIARLEAD_REGISTRY_H_
#define BRIARLEAD_REGISTRY_BRIARLEAD_REGISTRY_H_

// Umbrella header of briarlead_registry: the control process that maintains the
// list of routes and the directory of backend servers. Depends on
// briarlead_consensus, briarlead_control (replica driver), briarlead_core,
// briarlead_metrics, briarlead_net, briarlead_routes, briarlead_settings,
// briarlead_state and briarlead_wire.

#include "briarlead_registry/known_hosts.h"
#include "briarlead_registry/registry_call.h"
#include "briarlead_registry/registry_process.h"

#endif  // BRIARLEAD_REGISTRY_BRIARLEAD_REGISTRY_H_
