#ifndef BRIARLEAD_STATE_BRIARLEAD_STATE_H_
#define BRIARLEAD_STATE_BRIARLEAD_STATE_H_

// Umbrella header of briarlead_state: the replicated state machine, the request
// handling of a control process, and the issuer of engine orders. Depends on
// briarlead_core and briarlead_claims.

#include "briarlead_state/control_message.h"
#include "briarlead_state/control_service.h"
#include "briarlead_state/engine_order.h"
#include "briarlead_state/list_store.h"
#include "briarlead_state/order_issuer.h"
#include "briarlead_state/order_table.h"
#include "briarlead_state/state_command.h"
#include "briarlead_state/state_machine.h"
#include "briarlead_state/subscriber_table.h"

#endif  // BRIARLEAD_STATE_BRIARLEAD_STATE_H_
