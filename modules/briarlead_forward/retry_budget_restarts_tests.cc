#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "briarlead_core/random_source.h"
#include "briarlead_forward/placement_owners.h"
#include "briarlead_forward/retry_budget.h"

// Included last, since it redefines operator new.
#include "briarlead_forward/forward_fixture.h"

namespace briarlead {

namespace {

constexpr double kRatio = 0.2;
constexpr Duration kWindow = std::chrono::seconds(10);
constexpr Duration kStep = std::chrono::milliseconds(20);
constexpr Duration kHeartbeat = std::chrono::milliseconds(400);
constexpr Duration kReportInterval = std::chrono::milliseconds(300);
/// From the end of a process to the first step of the next one.
constexpr Duration kRestartTime = std::chrono::milliseconds(100);
/// Time in which the hosts get to know each other before the first kill.
constexpr Duration kCalm = std::chrono::seconds(15);
constexpr std::size_t kControlHosts = 3;
constexpr std::size_t kOwners = 2;
/// Share of the budget that a calm fleet can use.
constexpr double kUsedShare = 0.8;

struct Fleet {
  std::size_t hosts = 0;
  double slack = 0;
  /// Requests of all hosts in a second.
  double requests_per_second = 0;
};

constexpr Fleet kSmallFleet{9, 58, 70};
constexpr Fleet kLargeFleet{59, 158, 240};
constexpr Fleet kHugeFleet{294, 500, 1200};

/// Entry hosts in virtual time that want retries without end. They learn of
/// each other from control hosts, and tell each other their usage as hosts of
/// their number do.
class RestartedHosts {
 public:
  RestartedHosts(const Fleet& fleet, std::uint64_t seed)
      : fleet_(fleet), random_(seed), hosts_(fleet.hosts) {
    KillControlHosts();
    for (Host& it : hosts_)
      Start(it);
  }

  void Run(Duration time) {
    const TimePoint end = now_ + time;
    while (now_ < end)
      Step();
  }

  /// Ends the processes of about `share` of the hosts; each starts again.
  void Kill(double share) {
    for (Host& it : hosts_) {
      if (random_.Chance(share))
        it.budget.reset();
    }
    restart_at_ = now_ + kRestartTime;
  }
  void KillControlHosts() {
    for (auto& it : heard_)
      it.assign(hosts_.size(), false);
  }
  /// Separates about half of the hosts from the control hosts and the others.
  void Cut(bool cut) {
    for (Host& it : hosts_)
      it.cut = cut && random_.Chance(0.5);
  }

  /// Returns the largest excess of retries over the limit in any window.
  [[nodiscard]] double WorstExcess() const {
    double worst = -fleet_.slack;
    for (const TimePoint it : retries_)
      worst = std::max(worst, CountIn(retries_, it) - LimitAt(it));
    return worst;
  }
  /// Returns the largest share of the limit that was used in any window.
  [[nodiscard]] double MostUsed() const {
    double most = 0;
    for (const TimePoint it : retries_)
      most = std::max(most, CountIn(retries_, it) / LimitAt(it));
    return most;
  }

 private:
  struct Host {
    std::unique_ptr<RetryBudget> budget;  ///< Null while no process runs.
    std::uint64_t incarnation = 0;
    /// The hosts that each control host told of.
    std::array<std::vector<bool>, kControlHosts> told;
    TimePoint next_heartbeat;
    TimePoint next_report;
    std::uint64_t reported = 0;  ///< Revision of the usage.
    bool cut = false;
  };

  void Start(Host& host) {
    host.budget = std::make_unique<RetryBudget>(
        RetryLimits{kRatio, fleet_.slack, kWindow}, random_.Unit());
    ++host.incarnation;
    host.told = {};
    host.reported = 0;
    host.next_heartbeat = now_;
    host.next_report = now_;
  }

  void Step() {
    now_ += kStep;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      Host& it = hosts_[i];
      if (!it.budget && now_ >= restart_at_)
        Start(it);
      if (!it.budget)
        continue;
      SendHeartbeat(i);
      SendReport(i);
      TakeRequests(it);
      while (it.budget->TryAcquire(service_, 1, now_))
        retries_.push_back(now_);
    }
  }

  void SendHeartbeat(std::size_t host) {
    Host& it = hosts_[host];
    if (now_ < it.next_heartbeat)
      return;
    it.next_heartbeat = now_ + kHeartbeat;
    if (it.cut)
      return;
    std::vector<bool> known(hosts_.size());
    for (std::size_t control = 0; control < kControlHosts; ++control) {
      heard_[control][host] = true;
      it.told[control] = heard_[control];
      for (std::size_t i = 0; i < known.size(); ++i)
        known[i] = known[i] || it.told[control][i];
    }
    const auto count = std::ranges::count(known, true);
    it.budget->SetHostCount(static_cast<std::uint32_t>(count), now_);
  }

  /// Small fleets tell their usage to all; in larger ones, the hosts that place
  /// requests get a report of each host, without its usage.
  void SendReport(std::size_t host) {
    Host& it = hosts_[host];
    const bool is_small = hosts_.size() <= PlacementOwners::kMaxPlacingHosts;
    const bool has_news =
        is_small && it.reported != it.budget->local_revision();
    if (it.cut || (now_ < it.next_report && !has_news))
      return;
    it.next_report = now_ + kReportInterval;
    it.reported = it.budget->local_revision();
    const std::vector<RetryUsage> usages =
        is_small ? it.budget->Usage(now_) : std::vector<RetryUsage>();
    const std::size_t receivers = is_small ? hosts_.size() : kOwners;
    for (std::size_t to = 0; to < receivers; ++to) {
      if (to == host || hosts_[to].cut || !hosts_[to].budget)
        continue;
      hosts_[to].budget->OnPeerUsage(HostId(std::to_string(host)),
                                     it.incarnation, usages, now_);
    }
  }

  void TakeRequests(Host& host) {
    const double wanted = fleet_.requests_per_second /
                          static_cast<double>(hosts_.size()) *
                          std::chrono::duration<double>(kStep).count();
    if (!random_.Chance(wanted))
      return;
    requests_.push_back(now_);
    host.budget->OnRequest(service_, now_);
  }

  static double CountIn(const std::vector<TimePoint>& all, TimePoint end) {
    const auto first = std::upper_bound(all.begin(), all.end(), end - kWindow);
    const auto last = std::upper_bound(all.begin(), all.end(), end);
    return static_cast<double>(last - first);
  }
  [[nodiscard]] double LimitAt(TimePoint end) const {
    const double requests =
        std::max({CountIn(requests_, end), CountIn(requests_, end - kWindow),
                  CountIn(requests_, end - kWindow / 2)});
    return kRatio * requests + fleet_.slack;
  }

  Fleet fleet_;
  RandomSource random_;
  ServiceId service_{"models"};
  TimePoint now_{std::chrono::seconds(1000)};
  std::vector<Host> hosts_;
  /// The hosts that each control host has heard.
  std::array<std::vector<bool>, kControlHosts> heard_;
  TimePoint restart_at_;
  std::vector<TimePoint> requests_;
  std::vector<TimePoint> retries_;
};

/// Kills half of the fleet up to three times in ten seconds, beside cuts and
/// kills of all control hosts; returns what exceeded the limits, or "".
std::string KillHalfOfTheFleet(const Fleet& fleet, std::uint64_t seeds) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    RestartedHosts hosts(fleet, seed);
    hosts.Run(kCalm);
    const auto kills = 2 + seed % 2;
    for (std::uint64_t kill = 0; kill < kills; ++kill) {
      hosts.Kill(0.5);
      if (seed % 3 == kill)
        hosts.KillControlHosts();
      hosts.Cut(seed % 4 == kill);
      hosts.Run(std::chrono::seconds(3));
    }
    hosts.Cut(false);
    hosts.Run(kWindow);
    if (hosts.WorstExcess() > 0) {
      return "seed " + std::to_string(seed) + ": " +
             std::to_string(hosts.WorstExcess()) + " retries over the limit";
    }
  }
  return "";
}

/// Returns the largest share of its budget that a calm fleet uses.
double ShareUsedWhenCalm(const Fleet& fleet) {
  RestartedHosts hosts(fleet, 1);
  hosts.Run(kCalm + 2 * kWindow);
  return hosts.MostUsed();
}

}  // namespace

// Guards against retries beyond the budget after restarts (BUDGET).
TEST_GROUP(RestartedRetryBudget){};

TEST(RestartedRetryBudget, NineHostsKeepToTheLimitsWhenHalfOfThemAreKilled) {
  STRCMP_EQUAL("", KillHalfOfTheFleet(kSmallFleet, 24).c_str());
}

TEST(RestartedRetryBudget, LargeFleetKeepsToTheLimitsWhenHalfOfItIsKilled) {
  STRCMP_EQUAL("", KillHalfOfTheFleet(kLargeFleet, 12).c_str());
}

TEST(RestartedRetryBudget, HugeFleetKeepsToTheLimitsWhenHalfOfItIsKilled) {
  STRCMP_EQUAL("", KillHalfOfTheFleet(kHugeFleet, 4).c_str());
}

// Hosts that place the requests of all take their even part, too.
TEST(RestartedRetryBudget, CalmFleetsKeepToTheLimitsAndUseMostOfThem) {
  for (const Fleet& it : {kSmallFleet, kLargeFleet, kHugeFleet}) {
    const double used = ShareUsedWhenCalm(it);
    const std::string text =
        std::to_string(it.hosts) + " hosts: " + std::to_string(used);
    CHECK_TRUE_TEXT(used > kUsedShare && used <= 1, text.c_str());
  }
}

TEST_GROUP(PromptRetries) {
  ForwardFixture fixture_;
  std::unique_ptr<ForwardFlow> flow_;
  std::vector<ForwardCommand> commands_;

  void TakeCommands() {
    commands_ = flow_->TakeCommands();
  }
};

// Guards against retries that no budget was asked for (BUDGET): the result of
// the first prefill expires while the request waits for an engine.
TEST(PromptRetries, PromptIsNotReadAgainWithoutRoomInTheRetryBudget) {
  fixture_.budget_ = ForwardFixture::MakeBudget(0, 0);
  fixture_.AnnounceEngines();
  flow_ = fixture_.MakeFlow("once");
  flow_->Start(fixture_.now_);
  TakeCommands();
  for (const char* it : {"d1", "d2"}) {
    fixture_.load_tracker_.SetStream(
        it[1], {BackendServerId(it), 70'000, 5'000}, fixture_.now_);
  }
  fixture_.pool_.OnToldLeaving({BackendServerId("d1"), 1});
  flow_->OnPrefilled(1, "p1:80/h", fixture_.now_);
  TakeCommands();
  CHECK(CommandsOf<SendToServer>(commands_).empty());
  CHECK(CommandsOf<SendOwnResponse>(commands_).empty());
  fixture_.load_tracker_.RemoveStream('2', fixture_.now_);
  flow_->OnEnginesChanged(fixture_.now_);
  TakeCommands();
  CHECK(CommandsOf<SendToServer>(commands_).empty());
  CHECK_EQUAL(1U, CommandsOf<SendOwnResponse>(commands_).size());
  CHECK_EQUAL(0U, fixture_.budget_.counts().beyond_budget);
}

}  // namespace briarlead
