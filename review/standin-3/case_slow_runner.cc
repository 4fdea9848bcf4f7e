// Case 13: the first runner of a new version turns slow while it streams.

#include "standin.h"

#include <algorithm>
#include <cstdio>

namespace review {

namespace {

constexpr int kEvents = 8;
constexpr std::int64_t kGapMs = 400;
// The sheet's largest dose: five times as long, for 6.5 s.
constexpr std::int64_t kSlowFactor = 5;
constexpr std::int64_t kSlowMs = 6500;
constexpr std::int64_t kDeadlineMs = 14000;
// A client leaves after the longest of two seconds, four times the objective
// (800 ms) and eight times the pause (500 ms).
constexpr std::int64_t kClientGapMs = 4000;
constexpr int kClientsPerFront = 24;
constexpr int kRunners = 8;

std::atomic<std::int64_t> slow_until{0};

std::string Event(int number) {
  return "id: " + std::to_string(number) + "\ndata: event\n\n";
}

std::string Chunk(const std::string& bytes) {
  char size[32];
  snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

void Answer(const Message& request, Connection& to, bool turns_slow) {
  if (request.first_line.starts_with("GET ")) {
    to.Send(PlainAnswer(request));
    return;
  }
  bool sent = to.Send(AnswerHead(request, std::nullopt));
  for (int i = 1; sent && i <= kEvents; ++i) {
    sent = to.Send(Chunk(Event(i)));
    const bool is_slow = turns_slow && NowMs() < slow_until;
    SleepMs(is_slow ? kGapMs * kSlowFactor : kGapMs);
  }
  sent = sent && to.Send("0\r\n\r\n");
  const std::string id = request.Field("X-Briarlead-Request-Id");
  Record::Line(sent ? "the runner has sent all of " + id
                    : "the runner's connection broke while it sent " + id);
}

/// One client: a lookup, then a stream on the same connection.
struct Client {
  Address front;
  std::string id;
  bool has_begun = false;
  bool is_whole = false;
  bool left = false;

  void Run() {
    Connection connection;
    if (!connection.Connect(front))
      return;
    connection.Send(
        RequestHead("GET", "/read/" + id, "look-" + id, 0, kDeadlineMs));
    const auto lookup = connection.ReadMessage(kDeadlineMs);
    if (!lookup.has_value() || lookup->Status() != 200)
      return;
    connection.Send(
        RequestHead("POST", "/ask/" + id, "ask-" + id, 0, kDeadlineMs));
    const std::int64_t start = NowMs();
    std::int64_t longest = 0;
    std::string bytes;
    std::string how = "-";
    while (!bytes.ends_with("0\r\n\r\n")) {
      const std::int64_t since = NowMs();
      const auto more = connection.Read(65536, kClientGapMs);
      longest = std::max(longest, NowMs() - since);
      if (!more.has_value() || more->empty()) {
        how = connection.error();
        left = !more.has_value() && NowMs() - since >= kClientGapMs;
        break;
      }
      bytes += *more;
    }
    has_begun = bytes.starts_with("HTTP/1.1 200 ");
    is_whole = has_begun && bytes.ends_with("0\r\n\r\n") &&
               bytes.find(Event(kEvents)) != std::string::npos;
    Record::Line("request ask-" + id + " at " + front.ip + ": " +
                 (is_whole ? "whole" : "not whole, " + how) + " after " +
                 std::to_string(NowMs() - start) + " ms; longest wait " +
                 std::to_string(longest) + " ms");
  }
};

int Play() {
  const Fleet fleet = Fleet::FromEnvironment();
  ControlCaller operators(fleet.control);
  const std::string stream =
      R"({"Name":"r-ask","Host":"a.example","PathPrefix":"/ask/",)"
      R"("Kind":"streaming","TimeoutMs":14000,"TargetLatencyMs":800,)"
      R"("Priority":0,"Service":"desk","MaxAttempts":2,"Sticky":false,)"
      R"("Resumable":true,"ItlTargetMs":500})";
  const auto replaced = operators.Call(
      "POST", "/Config.Replace",
      Manifest(1, stream + "," + PlainRoute("/read/", "safe"), 4U << 20),
      15000);
  if (!replaced.has_value() || replaced->Status() != 200)
    return kNotRun;
  // A release has begun: the first runner of the new version is there, one of
  // eight. Only that one turns slow.
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 1; i <= kRunners; ++i) {
    const bool is_new = i == kRunners;
    runners.push_back(std::make_unique<Runner>(
        Runner::Options{"runner-" + std::to_string(i),
                        "desk",
                        {"127.0.3.1" + std::to_string(i), fleet.runner_port},
                        fleet.control,
                        0,
                        is_new ? "v2" : "v1"},
        [is_new](const Message& request, Connection& to) {
          Answer(request, to, is_new);
        }));
  }
  if (!fleet.WaitReady(20000))
    return kNotRun;
  SleepMs(3500);

  std::vector<Client> clients;
  for (const Address& front : fleet.front) {
    for (int i = 0; i < kClientsPerFront; ++i) {
      Client& client = clients.emplace_back();
      client.front = front;
      client.id = std::to_string(clients.size());
    }
  }
  std::vector<std::thread> threads;
  threads.reserve(clients.size());
  for (Client& it : clients)
    threads.emplace_back([&it] { it.Run(); });
  SleepMs(700);
  if (fleet.has_trouble) {
    Record::Line("the runner turns slow");
    slow_until = NowMs() + kSlowMs;
  }
  for (std::thread& it : threads)
    it.join();
  int begun = 0;
  int lost = 0;
  for (const Client& it : clients) {
    begun += it.has_begun ? 1 : 0;
    lost += it.has_begun && !it.is_whole && !it.left ? 1 : 0;
  }
  if (begun < static_cast<int>(clients.size()))
    return kNotRun;
  Record::Say(std::to_string(lost) + " of " + std::to_string(begun) +
              " streams on kept connections ended without their answer");
  return lost > 3 ? kBroken : kHeld;
}

}  // namespace

}  // namespace review

int main(int /*argc*/, char** argv) {
  review::Record::Open(argv[1]);
  return review::Play();
}
