// Case 12: clients read their streams slowly, but all the time.

#include "standin.h"

#include <cstdio>

namespace review {

namespace {

// Sizes of the small deployments' streams: at most 130 events of 1,400 bytes.
constexpr int kEvents = 130;
constexpr std::size_t kEventBytes = 1380;
constexpr std::int64_t kEventMs = 5;
constexpr std::int64_t kDeadlineMs = 14000;
constexpr std::size_t kSlowBytes = 1600;  // Every 100 ms: 16 KB a second.
constexpr std::int64_t kSlowMs = 100;
constexpr int kReceiveBuffer = 16384;
constexpr int kClientsPerFront = 4;

std::string Event(int number) {
  return "id: " + std::to_string(number) +
         "\ndata: " + std::string(kEventBytes, 'e') + "\n\n";
}

std::string Chunk(const std::string& bytes) {
  char size[32];
  snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

void Answer(const Message& request, Connection& to) {
  if (request.first_line.starts_with("GET ")) {
    to.Send(PlainAnswer(request));
    return;
  }
  bool sent = to.Send(AnswerHead(request, std::nullopt));
  for (int i = 1; sent && i <= kEvents; ++i) {
    sent = to.Send(Chunk(Event(i)));
    SleepMs(kEventMs);
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
  bool slow = false;
  bool has_begun = false;
  bool is_whole = false;
  std::string how;

  void Run() {
    Connection connection;
    if (!connection.Connect(front, kReceiveBuffer))
      return;
    connection.Send(
        RequestHead("GET", "/read/" + id, "look-" + id, 0, kDeadlineMs));
    const auto lookup = connection.ReadMessage(kDeadlineMs);
    if (!lookup.has_value() || lookup->Status() != 200)
      return;
    has_begun = true;
    connection.Send(
        RequestHead("POST", "/ask/" + id, "ask-" + id, 0, kDeadlineMs));
    const std::int64_t start = NowMs();
    std::string bytes;
    while (!bytes.ends_with("0\r\n\r\n") && NowMs() < start + kDeadlineMs) {
      const auto more = connection.Read(slow ? kSlowBytes : 65536, 4000);
      if (!more.has_value() || more->empty()) {
        how = connection.error();
        break;
      }
      bytes += *more;
      if (slow)
        SleepMs(kSlowMs);
    }
    is_whole = bytes.starts_with("HTTP/1.1 200 ") &&
               bytes.ends_with("0\r\n\r\n") &&
               bytes.find(Event(kEvents)) != std::string::npos;
    Record::Line("request ask-" + id + " at " + front.ip + ": " +
                 (is_whole ? "whole" : "not whole, " + how) + ", " +
                 std::to_string(bytes.size()) + " bytes read in " +
                 std::to_string(NowMs() - start) + " ms");
  }
};

int Play() {
  const Fleet fleet = Fleet::FromEnvironment();
  ControlCaller operators(fleet.control);
  const std::string stream =
      R"({"Name":"r-ask","Host":"a.example","PathPrefix":"/ask/",)"
      R"("Kind":"streaming","TimeoutMs":14000,"TargetLatencyMs":800,)"
      R"("Priority":0,"Service":"desk","MaxAttempts":2,"Sticky":false,)"
      R"("Resumable":true,"ItlTargetMs":300})";
  const auto replaced = operators.Call(
      "POST", "/Config.Replace",
      Manifest(1, stream + "," + PlainRoute("/read/", "safe"), 4U << 20),
      15000);
  if (!replaced.has_value() || replaced->Status() != 200)
    return kNotRun;
  Runner one(
      {"runner-1", "desk", {"127.0.3.11", fleet.runner_port}, fleet.control},
      Answer);
  Runner two(
      {"runner-2", "desk", {"127.0.3.12", fleet.runner_port}, fleet.control},
      Answer);
  if (!fleet.WaitReady(20000))
    return kNotRun;
  SleepMs(3500);

  std::vector<Client> clients;
  for (const Address& front : fleet.front) {
    for (int i = 0; i < kClientsPerFront; ++i) {
      Client& client = clients.emplace_back();
      client.front = front;
      client.id = std::to_string(clients.size());
      client.slow = fleet.has_trouble;
    }
  }
  std::vector<std::thread> threads;
  threads.reserve(clients.size());
  for (Client& it : clients)
    threads.emplace_back([&it] { it.Run(); });
  for (std::thread& it : threads)
    it.join();
  int begun = 0;
  int lost = 0;
  for (const Client& it : clients) {
    begun += it.has_begun ? 1 : 0;
    lost += it.has_begun && !it.is_whole ? 1 : 0;
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
