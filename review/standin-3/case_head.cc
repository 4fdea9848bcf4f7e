// Case 15: a route is dropped; a client asks for it with HEAD on a kept
// connection, and goes on with other requests.

#include "standin.h"

namespace review {

namespace {

constexpr std::int64_t kApplyMs = 2000;
constexpr std::int64_t kDeadlineMs = 4000;
constexpr int kRounds = 4;

struct Tally {
  int right = 0;
  int foreign = 0;
  int other = 0;
};

/// HEAD on the route that may have been dropped, then GET on the other one.
void Ask(Connection& connection, const std::string& id, Tally& tally) {
  connection.Send(
      RequestHead("HEAD", "/old/" + id, "head-" + id, 0, kDeadlineMs));
  const auto head = connection.ReadMessage(kDeadlineMs, false);
  if (!head.has_value()) {
    ++tally.other;
    return;
  }
  Record::Line("HEAD head-" + id + ": " + head->first_line);
  connection.Send(
      RequestHead("GET", "/read/" + id, "get-" + id, 0, kDeadlineMs));
  const auto answer = connection.ReadMessage(kDeadlineMs);
  const std::string line = answer.has_value() ? answer->first_line : "nothing";
  Record::Line("GET get-" + id + ": the first line that comes is \"" + line +
               "\"");
  if (answer.has_value() && answer->Status() == 200 &&
      answer->body == "ran get-" + id)
    ++tally.right;
  else if (answer.has_value() && answer->Status() == 0)
    ++tally.foreign;
  else
    ++tally.other;
}

int Play() {
  const Fleet fleet = Fleet::FromEnvironment();
  ControlCaller operators(fleet.control);
  const std::string kept = PlainRoute("/read/", "safe");
  const std::string dropped = PlainRoute("/old/", "safe");
  const auto replace = [&](int version, const std::string& routes) {
    const auto answer = operators.Call(
        "POST", "/Config.Replace", Manifest(version, routes, 4U << 20), 15000);
    Record::Line("manifest " + std::to_string(version) + ": " +
                 (answer.has_value() ? answer->first_line : "no answer"));
    return answer.has_value() && answer->Status() == 200;
  };
  if (!replace(1, kept + "," + dropped))
    return kNotRun;
  Runner one(
      {"runner-1", "desk", {"127.0.3.11", fleet.runner_port}, fleet.control},
      [](const Message& request, Connection& to) {
        to.Send(PlainAnswer(request));
      });
  if (!fleet.WaitReady(20000))
    return kNotRun;
  SleepMs(2500);
  Tally before;
  for (const Address& front : fleet.front) {
    Connection connection;
    if (!connection.Connect(front))
      return kNotRun;
    Ask(connection, "before-" + front.ip, before);
  }
  if (before.right != static_cast<int>(fleet.front.size()))
    return kNotRun;
  if (fleet.has_trouble && !replace(2, kept))
    return kNotRun;
  SleepMs(2 * kApplyMs);
  Tally tally;
  for (int round = 0; round < kRounds; ++round) {
    for (const Address& front : fleet.front) {
      Connection connection;
      if (!connection.Connect(front))
        return kNotRun;
      Ask(connection, std::to_string(round) + "-" + front.ip, tally);
    }
  }
  Record::Say(std::to_string(tally.right) + " right, " +
              std::to_string(tally.foreign) +
              " began with bytes that are no answer, " +
              std::to_string(tally.other) + " other");
  return tally.foreign > 0 ? kBroken : kHeld;
}

}  // namespace

}  // namespace review

int main(int /*argc*/, char** argv) {
  review::Record::Open(argv[1]);
  return review::Play();
}
