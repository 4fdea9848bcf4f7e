#ifndef BRIARLEAD_DISPATCH_BRIARLEAD_DISPATCH_H_
#define BRIARLEAD_DISPATCH_BRIARLEAD_DISPATCH_H_

// Umbrella header of briarlead_dispatch, which decides where and when each
// model request runs and enforces what each customer may use. Depends on
// briarlead_blackboard and briarlead_core.

#include "briarlead_dispatch/allowance.h"
#include "briarlead_dispatch/allowance_meter.h"
#include "briarlead_dispatch/allowance_shares.h"
#include "briarlead_dispatch/dispatch_messages.h"
#include "briarlead_dispatch/dispatcher.h"
#include "briarlead_dispatch/dispatcher_options.h"
#include "briarlead_dispatch/placement.h"
#include "briarlead_dispatch/shard_chooser.h"

#endif  // BRIARLEAD_DISPATCH_BRIARLEAD_DISPATCH_H_
