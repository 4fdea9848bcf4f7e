#ifndef BRIARLEAD_BLACKBOARD_BLACKBOARD_H_
#define BRIARLEAD_BLACKBOARD_BLACKBOARD_H_

#include "briarlead_blackboard/backend_server_table.h"
#include "briarlead_blackboard/host_table.h"

namespace briarlead {

/// The shared state of one process. Controllers keep no copies of what stands
/// here; each part names the one controller that writes it.
struct Blackboard {
  /// Entry hosts; written by the membership controllers.
  HostTable hosts;
  /// Backend servers; written by the membership controllers.
  BackendServerTable servers;
};

}  // namespace briarlead

#endif  // BRIARLEAD_BLACKBOARD_BLACKBOARD_H_
