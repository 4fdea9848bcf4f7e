#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "briarlead_forward/forward_fixture.h"

namespace briarlead {

namespace {

constexpr int kTickMs = 5;
constexpr int kReportIntervalMs = 300;
constexpr int kServiceTimeMs = 15;
/// Time until a server that ended is back, under another id.
constexpr int kRestartMs = 3000;
/// Time in which hosts must have learnt from each other.
constexpr Duration kAgreementTime = std::chrono::seconds(3);
/// Sends that are allowed after that.
constexpr int kAllowedSends = 3;
constexpr std::size_t kServers = 4;
constexpr ResponseFacts kOk = {200, false, false, true};

}  // namespace

// Nine entry hosts before a plain service. One request comes again and again
// and ends each server that begins to run it; others come beside it.
TEST_GROUP(CrashingRequest) {
  /// A request in progress.
  struct Running {
    std::size_t host = 0;
    bool crashes = false;
    std::unique_ptr<ForwardFlow> flow;
    AttemptNumber attempt = 0;
    std::string server;
    TimePoint ends;
  };
  static constexpr std::size_t kHosts = 9;
  std::vector<std::unique_ptr<ForwardFixture>> hosts_;
  std::vector<Running> running_;
  RandomSource random_{SeedOr(31)};
  std::map<std::string, TimePoint> starting_;  ///< Servers, when they start.
  std::vector<std::uint64_t> reported_;
  std::vector<TimePoint> crashing_sends_;
  std::vector<TimePoint> crashes_;
  std::vector<std::string> contents_;  ///< Outlive the flows.
  /// Runs that end their servers, also if their host has left them.
  std::vector<std::pair<std::string, TimePoint>> crashing_runs_;
  int crashing_served_ = 0;
  int next_server_ = 0;
  int elapsed_ms_ = 0;
  int sound_ = 0;
  int sound_served_ = 0;
  /// Addresses from which the request comes.
  std::uint64_t addresses_ = 1;
  /// Sound requests a second with the same path and body, of other callers.
  double twins_ = 0;
  std::string_view crashing_query_;
  bool still_crashes_ = true;
  int crash_after_ms_ = kServiceTimeMs;
  int restart_ms_ = kRestartMs;
  const char* route_ = "safe";

  void setup() override {
    std::vector<EntryHost> fleet;
    for (std::size_t it = 0; it < kHosts; ++it) {
      const std::string address = "10.0.0." + std::to_string(it);
      fleet.push_back({{address, 7001}, DataCentreId("here")});
      hosts_.push_back(std::make_unique<ForwardFixture>(address));
    }
    for (const auto& it : hosts_)
      it->suspects_.SetHosts(fleet);
    reported_.assign(kHosts, 0);
    for (std::size_t it = 0; it < kServers; ++it)
      StartServer("10.1.0." + std::to_string(it));
    contents_.reserve(100'000);
  }
  TimePoint Now() {
    return hosts_.front()->now_;
  }
  std::map<std::string, std::string> address_of_;

  void StartServer(const std::string& address) {
    // Ids are new with each start, addresses come again.
    const std::string id = "s" + std::to_string(next_server_++);
    for (const auto& it : hosts_) {
      it->Announce(id.c_str(), "desk", EngineStage::kNone, "here", address,
                   static_cast<std::uint64_t>(next_server_));
      it->suspects_.OnDirectoryChanged(it->directory_, it->now_);
    }
    address_of_[id] = address;
  }
  std::string_view Keep(std::string text) {
    contents_.push_back(std::move(text));
    return contents_.back();
  }
  void Start(bool crashes, const char* route, bool is_twin = false) {
    Running it;
    it.host = random_.Below(kHosts);
    it.crashes = crashes;
    it.flow = hosts_[it.host]->MakeFlow(route);
    RequestContent content;
    content.method = "GET";
    content.host = "a.example";
    content.path = "/bad";
    content.query = crashes ? crashing_query_ : "";
    content.address = Keep("other" + std::to_string(random_.Below(50)));
    if (crashes) {
      content.address = Keep(std::to_string(random_.Below(addresses_)));
    } else if (!is_twin) {
      content.path = Keep("/" + std::to_string(random_.Below(5)));
      content.body = Keep(std::to_string(random_.Below(400)));
    }
    it.flow->SetContent(content);
    sound_ += crashes ? 0 : 1;
    it.flow->Start(Now());
    if (Follow(it))
      running_.push_back(std::move(it));
  }
  std::map<std::string, TimePoint> ended_;

  /// Follows the commands of a request; returns whether it goes on.
  bool Follow(Running & it) {
    for (;;) {
      const auto commands = it.flow->TakeCommands();
      for (const CheckServer& check : CommandsOf<CheckServer>(commands))
        checks_.emplace_back(it.host, check.server);
      const auto sent = CommandsOf<SendToServer>(commands);
      if (sent.empty())
        return !it.flow->done();
      it.attempt = sent.back().attempt;
      it.server = sent.back().server.id.value();
      if (ended_.contains(it.server)) {
        it.flow->OnFailure(it.attempt, false, Now());
        continue;
      }
      if (it.crashes)
        crashing_sends_.push_back(Now());
      const int takes_ms = it.crashes ? crash_after_ms_ : kServiceTimeMs;
      it.ends = Now() + std::chrono::milliseconds(takes_ms);
      if (it.crashes && still_crashes_)
        crashing_runs_.emplace_back(it.server, it.ends);
      return true;
    }
  }
  std::vector<std::pair<std::size_t, ServerRecord>> checks_;

  /// Ends `server` and all runs on it.
  void EndServer(const std::string& server) {
    ended_[server] = Now();
    crashes_.push_back(Now());
    starting_[server] = Now() + std::chrono::milliseconds(restart_ms_);
    for (Running& it : running_) {
      if (it.server == server && it.attempt != 0)
        it.flow->OnFailure(it.attempt, true, Now());
    }
  }
  void FinishRuns() {
    std::vector<std::string> crashed;
    std::erase_if(crashing_runs_, [&](const auto& it) {
      if (it.second <= Now())
        crashed.push_back(it.first);
      return it.second <= Now();
    });
    for (Running& it : running_) {
      const bool ends = it.crashes && still_crashes_;
      if (Now() < it.ends || ended_.contains(it.server) || ends)
        continue;
      sound_served_ += it.crashes ? 0 : 1;
      crashing_served_ += it.crashes ? 1 : 0;
      it.flow->OnHead(it.attempt, kOk, Now());
      it.flow->OnComplete(it.attempt, Now());
    }
    for (const std::string& it : crashed) {
      if (!ended_.contains(it))
        EndServer(it);
    }
  }
  /// Returns whether any server runs at the address of `server`.
  bool IsListening(const std::string& server) {
    return std::any_of(
        address_of_.begin(), address_of_.end(), [&](const auto& it) {
          return it.second == address_of_[server] && !ended_.contains(it.first);
        });
  }
  void Exchange() {
    for (const auto& [host, server] : std::exchange(checks_, {}))
      hosts_[host]->OnServerChecked(server,
                                    !ended_.contains(server.id.value()));
    for (std::size_t from = 0; from < kHosts; ++from) {
      CrashSuspects& suspects = hosts_[from]->suspects_;
      const bool is_due = elapsed_ms_ % kReportIntervalMs == 0;
      if (std::exchange(reported_[from], suspects.revision()) ==
              suspects.revision() &&
          !is_due) {
        continue;
      }
      const CrashReport report = suspects.Report(Now());
      for (std::size_t to = 0; to < kHosts; ++to) {
        if (to != from)
          hosts_[to]->suspects_.OnReport(report, Now());
      }
    }
  }
  void Restart(std::size_t host) {
    hosts_[host]->suspects_ =
        CrashSuspects(hosts_[host]->permit_owners_.self().address);
  }
  void RestartServers() {
    std::vector<std::string> addresses;
    std::erase_if(starting_, [&](const auto& it) {
      if (it.second <= Now())
        addresses.push_back(address_of_[it.first]);
      return it.second <= Now();
    });
    for (const std::string& it : addresses)
      StartServer(it);
  }
  /// Passes `milliseconds`, with `crashing` such requests a second and 40
  /// others.
  void Run(int milliseconds, double crashing) {
    for (int it = 0; it < milliseconds; it += kTickMs) {
      elapsed_ms_ += kTickMs;
      for (const auto& host : hosts_)
        host->Advance(kTickMs);
      RestartServers();
      if (random_.Unit() < crashing * kTickMs / 1000)
        Start(true, route_);
      if (random_.Unit() < 40.0 * kTickMs / 1000)
        Start(false, "safe");
      if (random_.Unit() < twins_ * kTickMs / 1000)
        Start(false, "safe", true);
      FinishRuns();
      Exchange();
      std::vector<Running> others;
      for (Running& request : running_) {
        if (Now() >= request.flow->NextWake())
          request.flow->OnWake(Now());
        if (Follow(request))
          others.push_back(std::move(request));
      }
      running_ = std::move(others);
    }
  }
  /// Returns how often the request reached a server once hosts must have learnt
  /// of its third crash.
  int LateSends() {
    if (crashes_.size() < 3)
      return 0;
    const TimePoint learnt = crashes_[2] + kAgreementTime;
    return static_cast<int>(
        std::count_if(crashing_sends_.begin(), crashing_sends_.end(),
                      [&](TimePoint it) { return it > learnt; }));
  }
};

TEST(CrashingRequest, RequestThatEndedThreeServersIsNotSentOn) {
  Run(60'000, 5);
  CHECK_TRUE(LateSends() <= kAllowedSends);
}

TEST(CrashingRequest, SoundRequestsAreServedOnceItIsBlocked) {
  Run(10'000, 5);
  sound_ = 0;
  sound_served_ = 0;
  Run(40'000, 5);
  CHECK_TRUE(sound_served_ >= 0.97 * sound_);
}

TEST(CrashingRequest, ThatMayNotBeRepeatedIsBlockedToo) {
  route_ = "unsafe";
  Run(60'000, 5);
  CHECK_TRUE(LateSends() <= kAllowedSends);
}

TEST(CrashingRequest, OfTwoAddressesIsBlockedByItsContent) {
  addresses_ = 2;
  Run(60'000, 5);
  CHECK_TRUE(LateSends() <= kAllowedSends);
}

TEST(CrashingRequest, OfChangingAddressesIsBlockedByItsContent) {
  addresses_ = 1000;
  Run(60'000, 5);
  CHECK_TRUE(LateSends() <= kAllowedSends);
}

TEST(CrashingRequest, SoundRequestsWithTheSameContentDoNotKeepItUnblocked) {
  addresses_ = 4;
  twins_ = 0.2;
  Run(60'000, 5);
  CHECK_TRUE(LateSends() <= kAllowedSends);
}

TEST(CrashingRequest, ThatSharesAPopularPathIsBlockedByItsQuery) {
  addresses_ = 4;
  twins_ = 20;
  crashing_query_ = "q=bad";
  Run(10'000, 5);
  sound_ = 0;
  sound_served_ = 0;
  Run(50'000, 5);
  CHECK_TRUE(LateSends() <= kAllowedSends);
  CHECK_TRUE(sound_served_ >= 0.97 * sound_);
}

TEST(CrashingRequest, OfOneCallerIsBlockedBesideAPopularTwin) {
  twins_ = 20;
  Run(10'000, 5);
  sound_ = 0;
  sound_served_ = 0;
  Run(50'000, 5);
  CHECK_TRUE(LateSends() <= kAllowedSends);
  CHECK_TRUE(sound_served_ >= 0.97 * sound_);
}

TEST(CrashingRequest, SlowServersAreNotLeftForOthersOnceOneHasEnded) {
  ForwardFixture& host = *hosts_[0];
  RequestContent content;
  content.method = "GET";
  content.path = "/bad";
  host.suspects_.OnBroken({}, NamesOf(content), {BackendServerId("x"), 1},
                          Now());
  host.suspects_.OnServerChecked({BackendServerId("x"), 1}, false, Now());
  const auto flow = host.MakeFlow("safe");
  flow->SetContent(content);
  flow->Start(Now());
  flow->TakeCommands();
  host.Advance(500);
  flow->OnWake(Now());
  CHECK_TRUE(CommandsOf<SendToServer>(flow->TakeCommands()).empty());
}

TEST(CrashingRequest, ThatIsLeftBeforeItsServerEndsIsBlockedToo) {
  crash_after_ms_ = 600;
  Run(60'000, 5);
  CHECK_TRUE(LateSends() <= kAllowedSends);
}

TEST(CrashingRequest, ServersThatAreBackAtOnceAreCountedToo) {
  restart_ms_ = 0;
  Run(60'000, 5);
  CHECK_TRUE(LateSends() <= kAllowedSends);
}

TEST(CrashingRequest, RestartedHostsLearnFromTheOthers) {
  Run(10'000, 5);
  for (std::size_t it = 0; it < kHosts; ++it) {
    Restart(it);
    // The others hear of it first by its load message, and answer.
    const CrashReport report =
        hosts_[(it + 1) % kHosts]->suspects_.Report(Now());
    hosts_[it]->suspects_.OnReport(report, Now());
    Run(2000, 5);
  }
  CHECK_TRUE(LateSends() <= kAllowedSends);
}

TEST(CrashingRequest, AfterARestartOfAllHostsThreeServersEndAtMost) {
  Run(10'000, 5);
  for (std::size_t it = 0; it < kHosts; ++it)
    Restart(it);
  const std::size_t before = crashes_.size();
  Run(20'000, 5);
  CHECK_TRUE(crashes_.size() - before <= CrashSuspects::kCrashesToBlock + 1);
}

TEST(CrashingRequest, ThatEndsNoServerAnyMoreIsServedAgain) {
  Run(10'000, 5);
  still_crashes_ = false;
  Run(170'000, 5);
  CHECK_TRUE(crashing_served_ > 0);
  const int served = crashing_served_;
  Run(4000, 5);
  CHECK_TRUE(crashing_served_ - served >= 10);
}

TEST(CrashingRequest, AttemptStartsNoRetryOnceTheRequestHasEndedAServer) {
  ForwardFixture& host = *hosts_[0];
  RequestContent content;
  content.method = "GET";
  content.path = "/bad";
  host.suspects_.OnBroken({}, NamesOf(content), {BackendServerId("x"), 1},
                          Now());
  host.suspects_.OnServerChecked({BackendServerId("x"), 1}, false, Now());
  const auto flow = host.MakeFlow("safe");
  flow->SetContent(content);
  flow->Start(Now());
  CHECK_EQUAL(1U, CommandsOf<SendToServer>(flow->TakeCommands()).size());
  flow->OnFailure(1, true, Now());
  const auto commands = flow->TakeCommands();
  CHECK_TRUE(CommandsOf<SendToServer>(commands).empty());
  CHECK_EQUAL(502, CommandsOf<SendOwnResponse>(commands).at(0).status);
}

TEST(CrashingRequest, BlockedRequestIsRefusedAtOnceAsNotRun) {
  Run(10'000, 5);
  const auto flow = hosts_[3]->MakeFlow("unsafe");
  RequestContent content;
  content.method = "GET";
  content.host = "a.example";
  content.path = "/bad";
  content.address = "0";
  flow->SetContent(content);
  flow->Start(Now());
  const auto refusals = CommandsOf<SendOwnResponse>(flow->TakeCommands());
  CHECK_EQUAL(503, refusals.at(0).status);
  CHECK_TRUE(refusals.at(0).retry_after > std::chrono::seconds(1));
  // Another body is not refused.
  const auto other = hosts_[3]->MakeFlow("unsafe");
  content.body = "another";
  other->SetContent(content);
  other->Start(Now());
  CHECK_EQUAL(1U, CommandsOf<SendToServer>(other->TakeCommands()).size());
}

}  // namespace briarlead
