#ifndef BRIARLEAD_FORWARD_BRIARLEAD_FORWARD_H_
#define BRIARLEAD_FORWARD_BRIARLEAD_FORWARD_H_

// Umbrella header of briarlead_forward: decides how requests are forwarded to
// backend servers, without I/O. Depends on briarlead_claims (digests),
// briarlead_core and briarlead_routes.

#include "briarlead_forward/body_buffer.h"
#include "briarlead_forward/crash_suspects.h"
#include "briarlead_forward/directory_freshness.h"
#include "briarlead_forward/engine_load_tracker.h"
#include "briarlead_forward/event_splitter.h"
#include "briarlead_forward/forward_command.h"
#include "briarlead_forward/forward_flow.h"
#include "briarlead_forward/model_demand.h"
#include "briarlead_forward/model_placer.h"
#include "briarlead_forward/origin_finder.h"
#include "briarlead_forward/output_length_estimator.h"
#include "briarlead_forward/owner_client.h"
#include "briarlead_forward/permit_issuer.h"
#include "briarlead_forward/permit_owners.h"
#include "briarlead_forward/placement_owners.h"
#include "briarlead_forward/queue_forecast.h"
#include "briarlead_forward/relay_hosts.h"
#include "briarlead_forward/remote_placements.h"
#include "briarlead_forward/request_names.h"
#include "briarlead_forward/retry_budget.h"
#include "briarlead_forward/send_permits.h"
#include "briarlead_forward/server_health.h"
#include "briarlead_forward/server_limits.h"
#include "briarlead_forward/server_notice.h"
#include "briarlead_forward/server_pool.h"
#include "briarlead_forward/shutdown_plan.h"
#include "briarlead_forward/stream_origins.h"

#endif  // BRIARLEAD_FORWARD_BRIARLEAD_FORWARD_H_
