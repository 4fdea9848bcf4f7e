#ifndef BRIARLEAD_REQUESTS_BRIARLEAD_REQUESTS_H_
#define BRIARLEAD_REQUESTS_BRIARLEAD_REQUESTS_H_

// Umbrella header of briarlead_requests: the handling of callers' requests
// on an entry host, without I/O. Depends on briarlead_core and
// briarlead_blackboard.

#include "briarlead_requests/completion_commands.h"
#include "briarlead_requests/completion_flow.h"
#include "briarlead_requests/service_pool.h"

#endif  // BRIARLEAD_REQUESTS_BRIARLEAD_REQUESTS_H_
