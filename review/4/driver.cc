// Two of five entry hosts get SIGTERM, one 1.3 s after the other; both belong
// to the three of one zone. The provider goes on using all hosts of that zone,
// as fewer than half are in rotation. A request that a stopping host reads and
// passes on to a server must get its answer.

#include <atomic>
#include <csignal>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "../standin/standin.h"

namespace {

constexpr double kWorkMs = 2600;
constexpr double kLastSendMs = 7400;
constexpr double kTurnMs = 1300;
constexpr int kHosts = 5;
constexpr int kHostsOfZone = 3;
constexpr int kStopped = 2;
constexpr double kGraceMs = 8000;

std::mutex runs_mutex;
std::set<std::string> runs;

void Serve(standin::Socket socket) {
  std::string buffer;
  for (;;) {
    standin::Message request;
    if (!standin::ReadHead(socket, buffer, request, 30000) ||
        !standin::ReadBody(socket, buffer, request, false, 30000)) {
      return;
    }
    const std::string id = request.field("X-Briarlead-Request-Id");
    {
      const std::lock_guard lock(runs_mutex);
      runs.insert(id);
    }
    standin::Record("server: runs " + id);
    standin::SleepMs(kWorkMs);
    const std::string body = "booked " + id;
    if (!socket.Write(standin::Join(
            {"HTTP/1.1 200 OK\r\nX-Briarlead-Request-Id: ", id,
             "\r\nX-Briarlead-Server-Stamp: stamp-", id, "\r\nContent-Length: ",
             std::to_string(body.size()), "\r\n\r\n", body}))) {
      standin::Record("server: nobody takes the answer to " + id);
    }
  }
}

bool HasRun(const std::string& id) {
  const std::lock_guard lock(runs_mutex);
  return runs.contains(id);
}

/// The provider's checks of one entry host, once per second.
struct Rotation {
  std::atomic<int> misses = 0;
  [[nodiscard]] bool is_in() const { return misses < 2; }
};

}  // namespace

int main() {
  standin::Fleet fleet(kHosts, kGraceMs / 1000, kHostsOfZone);
  fleet.StartAll();
  standin::Listener first_server("127.0.0.31", 0, Serve);
  standin::Listener second_server("127.0.0.32", 0, Serve);
  const standin::Announcer announcer(
      fleet, {{"i-1", "desk", first_server.address(), first_server.port()},
              {"i-2", "desk", second_server.address(), second_server.port()}});
  const std::string manifest =
      R"({"Version":3,"Routes":[{"Name":"book","Host":"a.example",)"
      R"("PathPrefix":"/book/","Kind":"unsafe","TimeoutMs":5000,)"
      R"("TargetLatencyMs":4000,"Priority":0,"Service":"desk",)"
      R"("MaxAttempts":1}],"Services":[{"Name":"desk",)"
      R"("HealthPath":"/health","MaxConns":100}],"Limits":{)"
      R"("MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)"
      R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
  if (!fleet.Replace(manifest) || !fleet.WaitUntilReady()) {
    standin::Record("the deployment didn't start");
    return 2;
  }
  standin::SleepMs(4000);
  std::atomic<bool> stops = false;
  Rotation rotation[kHostsOfZone];
  std::thread checks([&] {
    while (!stops) {
      for (int i = 0; i < kHostsOfZone; ++i) {
        const bool ready =
            standin::Call(fleet.gateway(i).address, fleet.ready_port(),
                          "GET /readiness HTTP/1.1\r\nHost: r\r\n"
                          "Connection: close\r\n\r\n",
                          900)
                .status() == 200;
        if (ready)
          rotation[i].misses = 0;
        else
          ++rotation[i].misses;
      }
      standin::SleepMs(1000);
    }
  });
  const double began = standin::Now();
  int stopped = 0;
  std::atomic<int> whole = 0;
  std::atomic<int> refused = 0;
  std::atomic<int> lost = 0;
  std::vector<std::thread> callers;
  for (int n = 0; standin::Now() - began < kLastSendMs; ++n) {
    if (standin::HasTrouble() && stopped < kStopped &&
        standin::Now() - began >= stopped * kTurnMs) {
      standin::Record("provider: SIGTERM to host " + std::to_string(stopped));
      kill(fleet.gateway(stopped++).pid, SIGTERM);
    }
    int in_rotation = 0;
    for (const Rotation& it : rotation)
      in_rotation += it.is_in() ? 1 : 0;
    // Fewer than half in rotation: all of the zone's hosts are used.
    const bool uses_all = 2 * in_rotation < kHostsOfZone;
    const int host = n % kHostsOfZone;
    if (uses_all || rotation[host].is_in()) {
      callers.emplace_back([&, host, n] {
        const std::string id = "request-" + std::to_string(n);
        // Counted from the turn of this host.
        const double turn = began + host * kTurnMs;
        const double sent = standin::Now() - turn;
        const standin::Message answer =
            standin::Call(fleet.gateway(host).address, fleet.callers_port(),
                          "POST /book/1 HTTP/1.1\r\nHost: a.example\r\n"
                          "X-Briarlead-Request-Id: " +
                              id +
                              "\r\nX-Briarlead-Deadline-Ms: 5000\r\n"
                              "Content-Length: 4\r\n\r\nbook",
                          6000);
        const double ended = standin::Now() - turn;
        const bool has_run = HasRun(id);
        standin::Record(
            "caller: " + id + " at host " + std::to_string(host) + ", sent " +
            std::to_string(static_cast<int>(sent)) + " ms after, ended " +
            std::to_string(static_cast<int>(ended)) + " ms after: " +
            (answer.complete ? "status " + std::to_string(answer.status())
                             : std::string("closed without an answer")) +
            (has_run ? ", has run" : ", has not run"));
        if (answer.complete && answer.status() == 200)
          ++whole;
        else if (answer.complete)
          ++refused;
        else if (has_run && host < kStopped && sent > 3000 &&
                 ended < kGraceMs + 1000)
          ++lost;
      });
    }
    standin::SleepMs(100);
  }
  for (std::thread& it : callers)
    it.join();
  stops = true;
  checks.join();
  standin::Record("answered whole " + std::to_string(whole.load()) +
                  ", answered otherwise " + std::to_string(refused.load()) +
                  ", lost though passed on and sent later than 3 s after: " +
                  std::to_string(lost.load()));
  if (lost > 0)
    return 1;
  return whole > 0 ? 0 : 2;
}
