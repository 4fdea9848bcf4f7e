// Case 11: a manifest raises MaxBodyBytes while clients keep connections open.

#include "standin.h"

namespace review {

namespace {

constexpr std::size_t kSmallLimit = 1U << 20;
constexpr std::size_t kLargeLimit = 4U << 20;
constexpr std::size_t kLargeBody = 3U << 19;  // 1.5 MiB
constexpr std::int64_t kApplyMs = 2000;
constexpr std::int64_t kDeadlineMs = 4000;
constexpr int kClientsPerFront = 6;

struct Client {
  Address front;
  std::unique_ptr<Connection> connection;
  int requests = 0;
};

/// Sends a request on the client's kept connection; returns the status, 0 if
/// there is no answer.
int Post(Client& client, const std::string& id, std::size_t body_bytes) {
  if (!client.connection) {
    client.connection = std::make_unique<Connection>();
    if (!client.connection->Connect(client.front))
      return 0;
  }
  ++client.requests;
  client.connection->Send(
      RequestHead("POST", "/book/" + id, id, body_bytes, kDeadlineMs) +
      std::string(body_bytes, 'b'));
  const auto answer = client.connection->ReadMessage(kDeadlineMs + 1000);
  const int status = answer.has_value() ? answer->Status() : 0;
  Record::Line("request " + id + ", body of " + std::to_string(body_bytes) +
               " bytes, sent to " + client.front.ip + " on a connection's " +
               std::to_string(client.requests) +
               ". request: " + std::to_string(status));
  return status;
}

int Play() {
  const Fleet fleet = Fleet::FromEnvironment();
  ControlCaller operators(fleet.control);
  const std::string routes = PlainRoute("/book/", "unsafe");
  const auto replace = [&](int version, std::size_t limit) {
    const auto answer = operators.Call("POST", "/Config.Replace",
                                       Manifest(version, routes, limit), 15000);
    const int status = answer.has_value() ? answer->Status() : 0;
    Record::Line("manifest " + std::to_string(version) + ", MaxBodyBytes " +
                 std::to_string(limit) + ": " + std::to_string(status));
    return status == 200;
  };
  if (!replace(1, fleet.has_trouble ? kSmallLimit : kLargeLimit))
    return kNotRun;
  const auto answer = [](const Message& request, Connection& to) {
    to.Send(PlainAnswer(request));
  };
  Runner one(
      {"runner-1", "desk", {"127.0.3.11", fleet.runner_port}, fleet.control},
      answer);
  Runner two(
      {"runner-2", "desk", {"127.0.3.12", fleet.runner_port}, fleet.control},
      answer);
  if (!fleet.WaitReady(20000))
    return kNotRun;
  SleepMs(2500);

  std::vector<Client> clients;
  for (const Address& front : fleet.front) {
    for (int i = 0; i < kClientsPerFront; ++i)
      clients.push_back({front, nullptr});
  }
  int n = 0;
  for (Client& it : clients) {
    if (Post(it, "first-" + std::to_string(++n), 600) != 200)
      return kNotRun;
  }
  if (fleet.has_trouble && !replace(2, kLargeLimit))
    return kNotRun;
  // Longer than ApplyMs after the confirmation, and than ContactMs without any
  // disturbance. The connections stay in use.
  const std::int64_t confirmed_at = NowMs();
  while (NowMs() < confirmed_at + 2 * kApplyMs) {
    for (Client& it : clients) {
      if (Post(it, "between-" + std::to_string(++n), 600) != 200)
        return kNotRun;
    }
    SleepMs(500);
  }
  // What the manifest in force allows, on new connections: the machines have
  // it, and the runners take such a body.
  for (const Address& front : fleet.front) {
    Client fresh{front, nullptr};
    if (Post(fresh, "fresh-" + std::to_string(++n), kLargeBody) != 200)
      return kNotRun;
  }
  int denied = 0;
  int other = 0;
  for (Client& it : clients) {
    const int status = Post(it, "kept-" + std::to_string(++n), kLargeBody);
    denied += status == 413 ? 1 : 0;
    other += status != 413 && status != 200 ? 1 : 0;
  }
  Record::Say(std::to_string(denied) + " of " + std::to_string(clients.size()) +
              " requests on kept connections got 413, " +
              std::to_string(other) + " another failure, " +
              std::to_string(NowMs() - confirmed_at) +
              " ms after the confirmation");
  return denied > 0 ? kBroken : kHeld;
}

}  // namespace

}  // namespace review

int main(int /*argc*/, char** argv) {
  review::Record::Open(argv[1]);
  return review::Play();
}
