#ifndef BRIARLEAD_MEMBERSHIP_BRIARLEAD_MEMBERSHIP_H_
#define BRIARLEAD_MEMBERSHIP_BRIARLEAD_MEMBERSHIP_H_

// Umbrella header of briarlead_membership: membership and failure detection of
// entry hosts and backend servers, and the owners of pool shards. Depends on
// briarlead_core and briarlead_blackboard.

#include "briarlead_membership/gossip_codec.h"
#include "briarlead_membership/gossip_message.h"
#include "briarlead_membership/host_membership.h"
#include "briarlead_membership/membership_command.h"
#include "briarlead_membership/membership_controller.h"
#include "briarlead_membership/membership_settings.h"
#include "briarlead_membership/shard_owner.h"

#endif  // BRIARLEAD_MEMBERSHIP_BRIARLEAD_MEMBERSHIP_H_
