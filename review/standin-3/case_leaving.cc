// Case 14: a runner started while its clock was ahead, starts again under its
// Id with the right time, and later leaves.

#include "standin.h"

namespace review {

namespace {

constexpr std::int64_t kClockStepMs = 2000;
constexpr std::int64_t kDrainMs = 2000;
constexpr std::int64_t kLingerMs = 3000;
constexpr std::int64_t kWorkMs = 30;
constexpr std::int64_t kDeadlineMs = 4000;
constexpr int kClients = 16;
constexpr int kRunners = 8;

/// Sends bookings one after the other on kept connections.
struct Client {
  std::vector<Address> fronts;
  int number = 0;
  std::map<int, int> statuses;
  std::map<std::string, int> answers;
  std::map<std::string, std::int64_t> sent_at;

  void Run(std::int64_t until) {
    Connection connection;
    for (int n = 1; NowMs() < until; ++n) {
      const std::string id =
          "c" + std::to_string(number) + "-" + std::to_string(n);
      const Address& front =
          fronts[static_cast<std::size_t>(number) % fronts.size()];
      if (!connection.open() && !connection.Connect(front))
        continue;
      sent_at[id] = NowMs();
      connection.Send(RequestHead("POST", "/book/" + id, id, 3, kDeadlineMs) +
                      "job");
      const auto answer = connection.ReadMessage(kDeadlineMs + 1000);
      const int status = answer.has_value() ? answer->Status() : 0;
      ++statuses[status];
      answers[id] = status;
      if (status != 200)
        Record::Line("request " + id + ": " + std::to_string(status));
      if (status == 0 || answer->Field("Connection") == "close")
        connection.Close();
      SleepMs(20);
    }
  }
};

int Play() {
  const Fleet fleet = Fleet::FromEnvironment();
  ControlCaller operators(fleet.control);
  const auto replaced = operators.Call(
      "POST", "/Config.Replace",
      Manifest(1, PlainRoute("/book/", "unsafe"), 4U << 20), 15000);
  if (!replaced.has_value() || replaced->Status() != 200)
    return kNotRun;
  const auto work = [](const Message& request, Connection& to) {
    SleepMs(kWorkMs);
    to.Send(PlainAnswer(request));
  };
  // One of eight crashes and leaves: less than the doses of the site file.
  std::vector<std::unique_ptr<Runner>> stay;
  for (int i = 1; i < kRunners; ++i) {
    stay.push_back(std::make_unique<Runner>(
        Runner::Options{"runner-" + std::to_string(i),
                        "desk",
                        {"127.0.3.1" + std::to_string(i), fleet.runner_port},
                        fleet.control},
        work));
  }
  Runner::Options options{
      "runner-8", "desk", {"127.0.3.18", fleet.runner_port}, fleet.control};
  if (!fleet.WaitReady(20000))
    return kNotRun;
  // Its clock jumps ahead before it starts, and back while it is down.
  options.clock_ahead_ms = fleet.has_trouble ? kClockStepMs : 0;
  auto leaves = std::make_unique<Runner>(options, work);
  SleepMs(500);
  leaves->Crash();
  SleepMs(500);
  options.clock_ahead_ms = 0;
  leaves = std::make_unique<Runner>(options, work);
  // Longer than ContactMs.
  SleepMs(5000);

  const std::int64_t end = NowMs() + 13000;
  std::vector<Client> clients(kClients);
  std::vector<std::thread> threads;
  for (int i = 0; i < kClients; ++i) {
    clients[static_cast<std::size_t>(i)].fronts = fleet.front;
    clients[static_cast<std::size_t>(i)].number = i;
    threads.emplace_back(
        [&clients, i, end] { clients[static_cast<std::size_t>(i)].Run(end); });
  }
  SleepMs(3000);
  const std::size_t before = leaves->Ran().size();
  const std::int64_t confirmed_at = leaves->Drain(4000);
  SleepMs(kDrainMs + kLingerMs);
  const auto ran = leaves->Ran();
  leaves->Deregister();
  leaves->Crash();
  for (std::thread& it : threads)
    it.join();
  if (before < 20 || confirmed_at == 0)
    return kNotRun;
  std::map<std::string, std::int64_t> sent_at;
  std::map<std::string, int> answers;
  for (const Client& it : clients) {
    sent_at.insert(it.sent_at.begin(), it.sent_at.end());
    answers.insert(it.answers.begin(), it.answers.end());
  }
  int late = 0;
  for (const auto& [at, id] : ran)
    late += sent_at[id] > confirmed_at && at > confirmed_at + kDrainMs ? 1 : 0;
  int lost = 0;
  for (const auto& [at, id] : leaves->Ran())
    lost += at > confirmed_at + kDrainMs && answers[id] != 200 ? 1 : 0;
  Record::Say(
      std::to_string(late) + " requests reached the runner later than " +
      std::to_string(kDrainMs) + " ms after its leaving was confirmed; " +
      std::to_string(lost) + " bookings that it had begun got no answer of it");
  return late > 0 ? kBroken : kHeld;
}

}  // namespace

}  // namespace review

int main(int /*argc*/, char** argv) {
  review::Record::Open(argv[1]);
  return review::Play();
}
