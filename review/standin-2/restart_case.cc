// A server ends and starts again under its id. Its first heartbeat is late, and
// the server is taken away before that arrives. Does it get requests later than
// DrainMs after it was confirmed as gone?
//
// Usage: restart_case FOLDER RECORD. Exits with 1 if it does, with 0 if it does
// not, with 2 if the case could not run.

#include <cstdlib>
#include <iostream>

#include "fleet.h"

namespace review {

namespace {

constexpr std::int64_t kDrainMs = 2000;
constexpr std::int64_t kContactMs = 3000;
/// Time for which the server is down.
constexpr std::int64_t kDownMs = 300;
/// Time from the start of the server to its leaving.
constexpr std::int64_t kLeavesAfterMs = 500;
/// How late the first heartbeat after the start arrives.
constexpr std::int64_t kLateMs = 2500;
/// The leaving server serves on for this long.
constexpr std::int64_t kServesOnMs = 7000;
constexpr std::int64_t kRequestMs = 10;
/// One of them ends and leaves: a share of 0.143, of 0.25 and 0.153 at most.
constexpr std::size_t kServers = 7;
constexpr std::size_t kLeaving = 1;

std::string Sent(const std::string& id, const std::string& host) {
  return std::string("sent ").append(id).append(" to ").append(host);
}

struct Run {
  std::int64_t at_ms;
  std::string request;
};

class RestartCase {
 public:
  RestartCase(const std::string& folder, const std::string& record)
      : record_(record), fleet_(folder, 3, 2) {}

  int Play(bool trouble) {
    if (!Prepare())
      return 2;
    std::thread caller([this] { SendRequests(); });
    SleepUntil(NowMs() + kContactMs + 1000);
    if (trouble)
      Restart();
    left_at_ = servers_[kLeaving]->Deregister();
    record_.Line(left_at_ < 0 ? "i-2 got no confirmation"
                              : "i-2 is confirmed as gone; it serves on");
    if (trouble) {
      SleepUntil(started_at_ + kLateMs);
      const bool taken = servers_[kLeaving]->Deliver(late_beat_);
      record_.Line(taken ? "its late heartbeat arrives: 2xx"
                         : "its late heartbeat is refused");
    }
    SleepUntil(NowMs() + kServesOnMs);
    ends_ = true;
    caller.join();
    servers_.clear();
    return left_at_ < 0 ? 2 : Judge();
  }

 private:
  bool Prepare() {
    if (!fleet_.StartAll())
      return false;
    for (std::size_t i = 0; i < kServers; ++i)
      servers_.push_back(NewServer(i, true));
    const bool ready =
        fleet_.SendRoutes(ListOf("safe", 2, 1000), NowMs() + 15000) &&
        fleet_.WaitUntilReady(NowMs() + 10000);
    record_.Line(ready ? "the system is ready" : "the system did not start");
    return ready;
  }

  std::unique_ptr<Server> NewServer(std::size_t i, bool announces) {
    const std::string number = std::to_string(i + 1);
    return std::make_unique<Server>(
        fleet_, "i-" + number, "127.0.23." + number, kService,
        [this, i](const ServerRequest& it) { return OnRun(i, it); }, announces);
  }

  void Restart() {
    servers_[kLeaving].reset();
    record_.Line("i-2 ends");
    SleepUntil(NowMs() + kDownMs);
    servers_[kLeaving] = NewServer(kLeaving, false);
    started_at_ = NowMs();
    late_beat_ = servers_[kLeaving]->NextBeat();
    record_.Line("i-2 starts again; its first heartbeat is held up");
    SleepUntil(started_at_ + kLeavesAfterMs);
  }

  bool OnRun(std::size_t server, const ServerRequest& request) {
    const std::string id = request.Field("X-Briarlead-Request-Id");
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_[server].push_back({NowMs(), id});
    record_.Detail("run " + id + " by i-" + std::to_string(server + 1));
    return true;
  }

  void SendRequests() {
    const std::vector<std::string>& hosts = fleet_.entry();
    std::int64_t next = NowMs();
    for (unsigned n = 1; !ends_; ++n) {
      SleepUntil(next);
      next = std::max(next + kRequestMs, NowMs());
      const std::string id = "q" + std::to_string(n);
      const std::string& host = hosts[n % hosts.size()];
      record_.Detail(Sent(id, host));
      const Answer answer = Call(host, fleet_.ports().callers, "GET",
                                 std::string(kRoutePath) + "7",
                                 {{"Host", kRouteHost},
                                  {"X-Briarlead-Request-Id", id},
                                  {"X-Briarlead-Deadline-Ms", "1000"}},
                                 "", 1500);
      record_.Detail("answered " + id + " " + std::to_string(answer.status));
    }
  }

  int Judge() {
    std::size_t late = 0;
    for (const Run& it : runs_[kLeaving]) {
      if (it.at_ms <= left_at_ + kDrainMs)
        continue;
      if (late++ == 0) {
        record_.Line("first late run: " + it.request + ", " +
                     std::to_string(it.at_ms - left_at_) +
                     " ms after the confirmation");
      }
    }
    std::size_t others = 0;
    for (std::size_t i = 0; i < kServers; ++i)
      others += i == kLeaving ? 0 : runs_[i].size();
    record_.Line("i-2: " + std::to_string(late) + " late runs of " +
                 std::to_string(runs_[kLeaving].size()) +
                 "; the six others: " + std::to_string(others) + " runs");
    if (others == 0)
      return 2;
    record_.Line(late > 0 ? "DRAIN is broken" : "DRAIN holds");
    return late > 0 ? 1 : 0;
  }

  Record record_;
  Fleet fleet_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::mutex mutex_;
  std::vector<Run> runs_[kServers];
  std::string late_beat_;
  std::int64_t started_at_ = -1;
  std::int64_t left_at_ = -1;
  std::atomic<bool> ends_{false};
};

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: restart_case FOLDER RECORD\n";
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  review::RestartCase played(argv[1], argv[2]);
  return played.Play(has_trouble);
}
