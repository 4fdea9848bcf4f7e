// A server answers a long request early and without a length; the connection to
// it is reset in the middle of that answer. Callers must not get the part that
// came as a whole answer.

#include <sys/socket.h>

#include <atomic>
#include <string>
#include <thread>

#include "../standin/standin.h"

namespace {

constexpr int kGateways = 3;
constexpr int kRequests = 24;
constexpr int kSmallWindow = 16384;
constexpr std::size_t kRequestBytes = 4'100'000;
constexpr std::size_t kAnswerBytes = 8000;

std::atomic<int> served = 0;
/// Whether the link resets the connection of the request that is sent now.
std::atomic<bool> resets = false;

std::string AnswerTo(const std::string& id) {
  std::string body = "answer to " + id + " ";
  while (body.size() < kAnswerBytes)
    body += "0123456789";
  return body.substr(0, kAnswerBytes);
}

/// The server: answers before it has read the body, which it reads later.
void Serve(standin::Socket socket) {
  std::string buffer;
  standin::Message request;
  if (!standin::ReadHead(socket, buffer, request, 20000))
    return;
  const std::string id = request.field("X-Briarlead-Request-Id");
  ++served;
  standin::Record("server: begins to answer " + id);
  const std::string body = AnswerTo(id);
  socket.Write("HTTP/1.1 200 OK\r\nX-Briarlead-Request-Id: " + id +
               "\r\nX-Briarlead-Server-Stamp: stamp-" + id +
               "\r\nConnection: close\r\n\r\n" +
               body.substr(0, body.size() / 2));
  standin::SleepMs(300);
  socket.Write(body.substr(body.size() / 2));
  standin::ReadBody(socket, buffer, request, false, 20000);
}

/// Copies bytes from one socket to the other until the first one ends.
void Copy(const standin::Socket& from, const standin::Socket& to) {
  std::string bytes;
  while (from.Read(bytes, 20000) > 0) {
    if (!to.Write(bytes))
      break;
    bytes.clear();
  }
  shutdown(to.fd(), SHUT_WR);
}

}  // namespace

int main() {
  standin::Fleet fleet(kGateways);
  fleet.StartAll();
  standin::Listener server("127.0.0.31", 0, Serve, kSmallWindow);
  // The link to the server. The disruption: of one of the three entry hosts, it
  // resets every second connection, 100 ms after the first part of the answer
  // went through.
  standin::Listener link(
      "127.0.0.32", 0,
      [&](standin::Socket caller) {
        standin::Socket callee = standin::Socket::Connect(
            server.address(), server.port(), 1000, kSmallWindow);
        const int small = kSmallWindow;
        setsockopt(callee.fd(), SOL_SOCKET, SO_SNDBUF, &small, sizeof(small));
        std::thread up([&] { Copy(caller, callee); });
        std::string first;
        while (first.size() < kAnswerBytes / 2 &&
               callee.Read(first, 20000) > 0) {
        }
        caller.Write(first);
        if (resets && !first.empty()) {
          standin::SleepMs(100);
          standin::Record("link: resets the connection");
          shutdown(callee.fd(), SHUT_RDWR);
          // The copy still uses the descriptor: reset it by hand.
          const linger at_once{1, 0};
          setsockopt(caller.fd(), SOL_SOCKET, SO_LINGER, &at_once,
                     sizeof(at_once));
          up.join();
          caller.Close();
          return;
        }
        Copy(callee, caller);
        up.join();
      },
      kSmallWindow);
  const standin::Announcer announcer(
      fleet, {{"i-server", "desk", link.address(), link.port()}});
  const std::string manifest =
      R"({"Version":3,"Routes":[{"Name":"report","Host":"a.example",)"
      R"("PathPrefix":"/report/","Kind":"unsafe","TimeoutMs":8000,)"
      R"("TargetLatencyMs":2000,"Priority":0,"Service":"desk",)"
      R"("MaxAttempts":1}],"Services":[{"Name":"desk",)"
      R"("HealthPath":"/health","MaxConns":100}],"Limits":{)"
      R"("MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)"
      R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
  if (!fleet.Replace(manifest) || !fleet.WaitUntilReady()) {
    standin::Record("the deployment didn't start");
    return 2;
  }
  standin::SleepMs(1500);
  int whole = 0;
  int cut = 0;
  int failed = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "request-" + std::to_string(i);
    const std::string body(kRequestBytes, 'x');
    const int host = i % kGateways;
    resets = standin::HasTrouble() && host == 0 && i % 2 == 1;
    const standin::Message answer = standin::Call(
        fleet.gateway(host).address, fleet.callers_port(),
        standin::Join({"POST /report/1 HTTP/1.1\r\nHost: a.example\r\n",
                       "X-Briarlead-Request-Id: ", id,
                       "\r\nX-Briarlead-Deadline-Ms: 8000\r\n",
                       "Content-Length: ", std::to_string(body.size()),
                       "\r\n\r\n", body}),
        9000);
    const bool is_whole = answer.body == AnswerTo(id);
    const bool is_success = answer.status() == 200 && answer.complete;
    standin::Record("caller: " + id + " got status " +
                    std::to_string(answer.status()) + " from host " +
                    std::to_string(host) + ", " +
                    std::to_string(answer.body.size()) + " of " +
                    std::to_string(kAnswerBytes) + " bytes, " +
                    (answer.complete ? "complete" : "broken off") +
                    ", Content-Length " + answer.field("Content-Length"));
    if (is_success && is_whole)
      ++whole;
    else if (is_success)
      ++cut;
    else
      ++failed;
  }
  standin::Record("whole " + std::to_string(whole) +
                  ", cut but complete in form " + std::to_string(cut) +
                  ", failed " + std::to_string(failed) + ", begun at server " +
                  std::to_string(served.load()));
  if (cut > 0)
    return 1;
  if (served == 0 || (!standin::HasTrouble() && whole != kRequests))
    return 2;
  return 0;
}
