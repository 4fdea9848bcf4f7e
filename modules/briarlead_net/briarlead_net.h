#ifndef BRIARLEAD_NET_BRIARLEAD_NET_H_
#define BRIARLEAD_NET_BRIARLEAD_NET_H_

// Umbrella header of briarlead_net, which exchanges authenticated frames
// between briarlead's own processes over TCP and UDP. Depends on
// briarlead_core.

#include "briarlead_net/frame_codec.h"
#include "briarlead_net/frame_key.h"
#include "briarlead_net/peer_transport.h"
#include "briarlead_net/replay_window.h"

#endif  // BRIARLEAD_NET_BRIARLEAD_NET_H_
