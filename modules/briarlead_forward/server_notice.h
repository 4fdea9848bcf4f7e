#ifndef BRIARLEAD_FORWARD_SERVER_NOTICE_H_
#define BRIARLEAD_FORWARD_SERVER_NOTICE_H_

#include "briarlead_core/time.h"
#include "briarlead_forward/forward_command.h"
#include "briarlead_forward/server_limits.h"
#include "briarlead_forward/server_pool.h"

namespace briarlead {

/// Records what an answer says of its server: that it leaves, wants nothing for
/// a time, or names a limit. That holds whichever request the answer is to and
/// whatever became of that request. `sent_at` is when the request was sent; the
/// default for an answer of which that isn't known.
inline void RecordServerNotice(ServerPool& pool,
                               ServerLimits& limits,
                               const ServerIncarnation& server,
                               const ResponseFacts& facts,
                               TimePoint sent_at,
                               TimePoint now) {
  if (facts.wants_pause.has_value())
    pool.OnPauseWanted(server, *facts.wants_pause, now);
  if (facts.leaving)
    pool.OnLeaving(server);
  if (facts.rate_limit.has_value())
    limits.OnAnswer(server, *facts.rate_limit, sent_at, now);
}

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_SERVER_NOTICE_H_
