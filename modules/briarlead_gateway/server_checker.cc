#include "briarlead_gateway/server_checker.h"

#include <utility>

namespace briarlead {

void ServerChecker::Check(const ServerRecord& server, TimePoint now) {
  const ServerIncarnation start = IncarnationOf(server);
  const auto found = entries_.find(start);
  if (found != entries_.end() && now - found->second.started < kResultLife)
    return;
  Entry& entry = entries_[start];
  entry.started = now;
  entry.finished = false;
  TcpStream::Handlers handlers;
  handlers.on_connected = [this, server] { OnResult(server, true); };
  handlers.on_end = [this, server](StreamEnd) { OnResult(server, false); };
  entry.stream =
      TcpStream::Connect(server.address, kTimeout, std::move(handlers));
}

void ServerChecker::OnResult(const ServerRecord& server, bool up) {
  const auto found = entries_.find(IncarnationOf(server));
  if (found == entries_.end() || std::exchange(found->second.finished, true))
    return;
  handler_(server, up);
}

void ServerChecker::Sweep(TimePoint now) {
  std::erase_if(entries_, [now](const auto& it) {
    return it.second.finished && now - it.second.started >= kResultLife;
  });
}

}  // namespace briarlead
