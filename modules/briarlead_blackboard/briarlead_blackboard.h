#ifndef BRIARLEAD_BLACKBOARD_BRIARLEAD_BLACKBOARD_H_
#define BRIARLEAD_BLACKBOARD_BRIARLEAD_BLACKBOARD_H_

// Umbrella header of briarlead_blackboard: the shared state that the
// controllers of one process read and write. Depends on briarlead_core.

#include "briarlead_blackboard/backend_server_record.h"
#include "briarlead_blackboard/backend_server_table.h"
#include "briarlead_blackboard/blackboard.h"
#include "briarlead_blackboard/held_attempt.h"
#include "briarlead_blackboard/host_record.h"
#include "briarlead_blackboard/host_table.h"

#endif  // BRIARLEAD_BLACKBOARD_BRIARLEAD_BLACKBOARD_H_
