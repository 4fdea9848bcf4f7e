#ifndef BRIARLEAD_CONSENSUS_BRIARLEAD_CONSENSUS_H_
#define BRIARLEAD_CONSENSUS_BRIARLEAD_CONSENSUS_H_

// Umbrella header of briarlead_consensus: a replicated log over the hosts with
// disks. Depends on briarlead_core.

#include "briarlead_consensus/codec.h"
#include "briarlead_consensus/command.h"
#include "briarlead_consensus/consensus_types.h"
#include "briarlead_consensus/file_store.h"
#include "briarlead_consensus/membership_manager.h"
#include "briarlead_consensus/message.h"
#include "briarlead_consensus/replica.h"
#include "briarlead_consensus/replica_settings.h"

#endif  // BRIARLEAD_CONSENSUS_BRIARLEAD_CONSENSUS_H_
