#ifndef BRIARLEAD_BLACKBOARD_BLACKBOARD_H_
#define BRIARLEAD_BLACKBOARD_BLACKBOARD_H_

#include "briarlead_blackboard/backend_server_table.h"
#include "briarlead_blackboard/host_table.h"

namespace briarlead {

/// The shared state of one process. Controllers read this state and keep no
/// copies of it. The comment at each member says which controllers write it.
struct Blackboard {
  /// Entry hosts. Written by the membership controllers.
  HostTable hosts;
  /// Backend servers. Written by the membership controllers.
  BackendServerTable servers;
};

}  // namespace briarlead

#endif  // BRIARLEAD_BLACKBOARD_BLACKBOARD_H_
