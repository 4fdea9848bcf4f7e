#include "briarlead_gateway/server_notices.h"

#include <utility>

#include "briarlead_net/loop_clock.h"

namespace briarlead {

ResponseFacts ServerNotices::Read(const ServerIncarnation& server,
                                  const ResponseHead& head,
                                  std::string_view request,
                                  bool is_late,
                                  TimePoint now) const {
  ResponseFacts facts = codec_.read_response(head);
  if (facts.leaving || facts.wants_pause.has_value()) {
    const Duration pause = facts.wants_pause.value_or(Duration::zero());
    logger_.Info(now, "server_wants_nothing",
                 {{"request", request},
                  {"server", server.id.value()},
                  {"leaving", facts.leaving},
                  {"pause_ms", pause.count() / 1000},
                  {"late", is_late}});
  }
  return facts;
}

void ServerNotices::Record(const ServerIncarnation& server,
                           const ResponseHead& head,
                           std::string_view request,
                           TimePoint sent_at,
                           TimePoint now) {
  const ResponseFacts facts = Read(server, head, request, true, now);
  RecordServerNotice(pool_, limits_, server, facts, sent_at, now);
}

std::function<void(const ResponseHead& head)> ServerNotices::RecorderOf(
    const ServerIncarnation& server,
    std::string request,
    TimePoint sent_at) {
  return [this, server, request = std::move(request),
          sent_at](const ResponseHead& head) {
    Record(server, head, request, sent_at, LoopNow());
  };
}

}  // namespace briarlead
