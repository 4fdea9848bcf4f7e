#ifndef BRIARLEAD_PLACEMENT_BRIARLEAD_PLACEMENT_H_
#define BRIARLEAD_PLACEMENT_BRIARLEAD_PLACEMENT_H_

/// \file
/// What placement decides on: learnt speeds of engines, capacities of hosts,
/// slots of plain services' servers, and fair shares of client accounts.
/// Depends on briarlead_core and briarlead_routes.

#include "briarlead_placement/engine_speeds.h"
#include "briarlead_placement/fair_shares.h"
#include "briarlead_placement/host_weights.h"
#include "briarlead_placement/pair_fit.h"
#include "briarlead_placement/slot_client.h"
#include "briarlead_placement/slot_scheduler.h"
#include "briarlead_placement/work_time.h"

#endif  // BRIARLEAD_PLACEMENT_BRIARLEAD_PLACEMENT_H_
