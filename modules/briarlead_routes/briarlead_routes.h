#ifndef BRIARLEAD_ROUTES_BRIARLEAD_ROUTES_H_
#define BRIARLEAD_ROUTES_BRIARLEAD_ROUTES_H_

// Umbrella header of briarlead_routes: the list of routes, the directory of
// backend servers, and the messages that distribute both to all hosts. Depends
// on briarlead_core, briarlead_accounts and briarlead_claims (bounded
// serialization).

#include "briarlead_routes/capacity_message.h"
#include "briarlead_routes/crash_report.h"
#include "briarlead_routes/directory_follower.h"
#include "briarlead_routes/directory_source.h"
#include "briarlead_routes/engine_placement_message.h"
#include "briarlead_routes/host_load.h"
#include "briarlead_routes/host_report.h"
#include "briarlead_routes/key_lease_message.h"
#include "briarlead_routes/leaving_report.h"
#include "briarlead_routes/persist_leaving_message.h"
#include "briarlead_routes/quota_message.h"
#include "briarlead_routes/route_list.h"
#include "briarlead_routes/route_table.h"
#include "briarlead_routes/routing_message.h"
#include "briarlead_routes/server_directory.h"
#include "briarlead_routes/server_limit_message.h"
#include "briarlead_routes/server_record.h"
#include "briarlead_routes/slot_message.h"
#include "briarlead_routes/stream_origin.h"
#include "briarlead_routes/suspect_id.h"

#endif  // BRIARLEAD_ROUTES_BRIARLEAD_ROUTES_H_
