// Servers leave one after the other; then all processes of the system are
// killed at the same moment and start again. Does a server that was confirmed
// as gone get requests later than DrainMs after that?
//
// Usage: leave_case FOLDER RECORD. Exits with 1 if it does, with 0 if it does
// not, with 2 if the case could not run.

#include <cstdlib>
#include <iostream>

#include "fleet.h"

namespace review {

namespace {

constexpr std::int64_t kDrainMs = 2000;
/// Twice ContactMs: the longest time after which processes that have started
/// again are in touch.
constexpr std::int64_t kInTouchAfterMs = 6000;
/// Time between the two servers that are taken away.
constexpr std::int64_t kGapMs = 400;
/// Time for which the processes are down.
constexpr std::int64_t kDownMs = 700;
/// A leaving server serves on for this long.
constexpr std::int64_t kServesOnMs = 10000;
constexpr std::int64_t kRequestMs = 10;
/// Two of them leave: a share of 0.143, of 0.153 at most.
constexpr std::size_t kServers = 14;

std::string Sent(const std::string& id, const std::string& host) {
  return std::string("sent ").append(id).append(" to ").append(host);
}

struct Run {
  std::int64_t at_ms;
  std::string request;
};

class LeaveCase {
 public:
  LeaveCase(const std::string& folder, const std::string& record)
      : record_(record), fleet_(folder, 3, 2) {}

  int Play(bool trouble) {
    if (!Prepare())
      return 2;
    std::thread caller([this] { SendRequests(); });
    SleepUntil(NowMs() + kInTouchAfterMs);
    const bool left = TakeAway(trouble);
    if (left)
      SleepUntil(left_at_[1] + kServesOnMs);
    ends_ = true;
    caller.join();
    servers_.clear();
    return left ? Judge() : 2;
  }

 private:
  bool Prepare() {
    if (!fleet_.StartAll())
      return false;
    for (std::size_t i = 0; i < kServers; ++i) {
      servers_.push_back(std::make_unique<Server>(
          fleet_, "i-" + std::to_string(i + 1),
          "127.0.23." + std::to_string(i + 1), kService,
          [this, i](const ServerRequest& it) { return OnRun(i, it); }));
    }
    const bool ready =
        fleet_.SendRoutes(ListOf("safe", 2, 1000), NowMs() + 15000) &&
        fleet_.WaitUntilReady(NowMs() + 10000);
    record_.Line(ready ? "the system is ready" : "the system did not start");
    return ready;
  }

  bool OnRun(std::size_t server, const ServerRequest& request) {
    const std::string id = request.Field("X-Briarlead-Request-Id");
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_[server].push_back({NowMs(), id});
    record_.Detail("run " + id + " by " + servers_[server]->id());
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

  bool TakeAway(bool trouble) {
    for (std::size_t i = 0; i < 2; ++i) {
      left_at_[i] = servers_[i]->Deregister();
      if (left_at_[i] < 0)
        return false;
      record_.Line(servers_[i]->id() + " is confirmed as gone; it serves on");
      if (i == 0)
        SleepUntil(NowMs() + kGapMs);
    }
    if (!trouble)
      return true;
    fleet_.KillAll();
    record_.Line("all processes are killed");
    SleepUntil(NowMs() + kDownMs);
    fleet_.EndFirstStart();
    if (!fleet_.StartAll())
      return false;
    started_at_ = NowMs();
    record_.Line("all processes are started again");
    return true;
  }

  int Judge() {
    const std::int64_t in_touch_from =
        started_at_ < 0 ? 0 : started_at_ + kInTouchAfterMs;
    std::size_t late = 0;
    for (std::size_t i = 0; i < 2; ++i) {
      std::size_t n = 0;
      for (const Run& it : runs_[i]) {
        if (it.at_ms <= left_at_[i] + kDrainMs || it.at_ms <= in_touch_from)
          continue;
        if (n++ == 0) {
          record_.Line("first late run: " + it.request + " by i-" +
                       std::to_string(i + 1) + ", " +
                       std::to_string(it.at_ms - left_at_[i]) +
                       " ms after the confirmation");
        }
      }
      record_.Line("i-" + std::to_string(i + 1) + ": " + std::to_string(n) +
                   " late runs of " + std::to_string(runs_[i].size()));
      late += n;
    }
    std::size_t others = 0;
    for (std::size_t i = 2; i < kServers; ++i)
      others += runs_[i].size();
    record_.Line("the twelve that stay: " + std::to_string(others) + " runs");
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
  std::int64_t left_at_[2] = {-1, -1};
  std::int64_t started_at_ = -1;
  std::atomic<bool> ends_{false};
};

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: leave_case FOLDER RECORD\n";
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  review::LeaveCase played(argv[1], argv[2]);
  return played.Play(has_trouble);
}
