#ifndef BRIARLEAD_GATEWAY_BRIARLEAD_GATEWAY_H_
#define BRIARLEAD_GATEWAY_BRIARLEAD_GATEWAY_H_

// Umbrella header of briarlead_gateway: the entry process that forwards
// requests by a list of routes. Depends on briarlead_core, briarlead_forward,
// briarlead_metrics, briarlead_net, briarlead_routes, briarlead_settings and
// briarlead_wire.

#include "briarlead_gateway/gateway_metrics.h"
#include "briarlead_gateway/gateway_process.h"
#include "briarlead_gateway/request_codec.h"

#endif  // BRIARLEAD_GATEWAY_BRIARLEAD_GATEWAY_H_
