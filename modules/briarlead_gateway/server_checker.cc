#include "briarlead_gateway/server_checker.h"

#include <utility>
#include <vector>

namespace briarlead {

namespace {

CheckResult ResultOf(StreamEnd end) {
  if (end == StreamEnd::kRefused)
    return CheckResult::kRefused;
  return end == StreamEnd::kNotStarted ? CheckResult::kNotTried
                                       : CheckResult::kNoAnswer;
}

}  // namespace

void ServerChecker::Check(const ServerRecord& server, TimePoint now) {
  const ServerIncarnation start = IncarnationOf(server);
  const auto found = entries_.find(start);
  if (found != entries_.end() && now - found->second.started < kResultLife) {
    found->second.wanted_again = found->second.finished;
    return;
  }
  Entry& entry = entries_[start];
  entry.server = server;
  entry.started = now;
  entry.finished = false;
  entry.wanted_again = false;
  TcpStream::Handlers handlers;
  handlers.on_connected = [this, server] {
    OnResult(server, CheckResult::kUp);
  };
  handlers.on_end = [this, server](StreamEnd end) {
    OnResult(server, ResultOf(end));
  };
  entry.stream =
      TcpStream::Connect(server.address, kTimeout, std::move(handlers));
}

void ServerChecker::OnResult(const ServerRecord& server, CheckResult result) {
  const auto found = entries_.find(IncarnationOf(server));
  if (found == entries_.end() || std::exchange(found->second.finished, true))
    return;
  handler_(server, result);
}

void ServerChecker::RunPostponed(TimePoint now) {
  std::vector<ServerRecord> due;
  for (const auto& [start, entry] : entries_) {
    if (entry.wanted_again && now - entry.started >= kResultLife)
      due.push_back(entry.server);
  }
  for (const ServerRecord& it : due)
    Check(it, now);
}

void ServerChecker::Sweep(TimePoint now) {
  std::erase_if(entries_, [now](const auto& it) {
    return it.second.finished && !it.second.wanted_again &&
           now - it.second.started >= kResultLife;
  });
}

}  // namespace briarlead
