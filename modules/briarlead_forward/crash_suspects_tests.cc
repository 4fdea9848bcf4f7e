#include "briarlead_forward/crash_suspects.h"

#include <string>
#include <utility>
#include <vector>

#include "briarlead_core/random_source.h"

// After everything that uses the global operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {

namespace {

constexpr SuspectId kCommon{0xc0};
constexpr SuspectId kBad{0xbad};
constexpr int kHosts = 9;
constexpr int kRounds = 300;

ServerIncarnation Engine(int number) {
  return {BackendServerId("d" + std::to_string(number)), 1};
}

}  // namespace

// Several entry hosts that exchange what they see of the parts of prompts.
TEST_GROUP(CrashSuspects) {
  TimePoint now_{std::chrono::seconds(1000)};
  std::vector<CrashSuspects> hosts_;
  RandomSource random_{11};
  int next_engine_ = 0;

  void setup() override {
    std::vector<EntryHost> fleet;
    for (int it = 0; it < kHosts; ++it) {
      const std::string address = "10.0.0." + std::to_string(it);
      fleet.push_back({{address, 7001}, DataCentreId("here")});
      hosts_.emplace_back(address);
    }
    for (CrashSuspects& it : hosts_)
      it.SetHosts(fleet);
  }
  void Advance(int milliseconds) {
    now_ += std::chrono::milliseconds(milliseconds);
  }
  CrashSuspects& AnyHost() {
    return hosts_[random_.Below(hosts_.size())];
  }
  /// Every host hears every other one, as it does at least every 300 ms.
  void Exchange() {
    for (std::size_t from = 0; from < hosts_.size(); ++from) {
      const CrashReport report = hosts_[from].Report(now_);
      for (std::size_t to = 0; to < hosts_.size(); ++to) {
        if (to != from)
          hosts_[to].OnReport(report, now_);
      }
    }
  }
  void EndEngineUnder(CrashSuspects & host,
                      const std::vector<SuspectId>& parts) {
    const ServerIncarnation engine = Engine(next_engine_++);
    host.OnBroken(parts, std::nullopt, engine, now_);
    host.OnServerChecked(engine, false, now_);
  }
  int BlockingHosts(SuspectId part) {
    int n = 0;
    for (const CrashSuspects& it : hosts_)
      n += it.IsBlocked({&part, 1}, std::nullopt, now_) ? 1 : 0;
    return n;
  }
};

TEST(CrashSuspects, FindingOfFewHostsHoldsOnAll) {
  for (int it = 0; it < 3; ++it) {
    CHECK_EQUAL(0, BlockingHosts(kBad));
    EndEngineUnder(hosts_[static_cast<std::size_t>(it)], {kCommon, kBad});
    Advance(300);
    Exchange();
  }
  CHECK_EQUAL(kHosts, BlockingHosts(kBad));
}

TEST(CrashSuspects, PartThatSurvivesElsewhereIsNotBlocked) {
  for (int it = 0; it < 40; ++it) {
    EndEngineUnder(AnyHost(), {kCommon, kBad, {100U + it % 5U}});
    const SuspectId sound{200U + it % 7U};
    AnyHost().OnSurvived(std::vector{kCommon, sound}, now_);
    if (it % 3 == 0)
      EndEngineUnder(AnyHost(), {kCommon, sound});
    Advance(250);
    Exchange();
  }
  CHECK_EQUAL(kHosts, BlockingHosts(kBad));
  CHECK_EQUAL(0, BlockingHosts(kCommon));
  for (std::uint64_t it = 200; it < 207; ++it)
    CHECK_EQUAL(0, BlockingHosts({it}));
}

TEST(CrashSuspects, OneSurvivalUnblocksOnAllHosts) {
  for (int it = 0; it < 4; ++it)
    EndEngineUnder(AnyHost(), {kCommon});
  Exchange();
  CHECK_EQUAL(kHosts, BlockingHosts(kCommon));
  Advance(100);
  hosts_[4].OnSurvived(std::vector{kCommon}, now_);
  Exchange();
  CHECK_EQUAL(0, BlockingHosts(kCommon));
  // What older reports say again has been answered.
  Advance(300);
  Exchange();
  CHECK_EQUAL(0, BlockingHosts(kCommon));
}

TEST(CrashSuspects, BrokenRunOfALivingEngineDoesNotCount) {
  for (int it = 0; it < 10; ++it) {
    const ServerIncarnation engine = Engine(it);
    hosts_[0].OnBroken(std::vector{kBad}, std::nullopt, engine, now_);
    hosts_[0].OnServerChecked(engine, true, now_);
  }
  CHECK_EQUAL(0, BlockingHosts(kBad));
  CHECK_TRUE(hosts_[0].Report(now_).empty());
}

TEST(CrashSuspects, RunsThatEndWithOneEngineCountOnce) {
  const ServerIncarnation engine = Engine(1);
  for (CrashSuspects& it : hosts_) {
    it.OnBroken(std::vector{kBad}, std::nullopt, engine, now_);
    it.OnServerChecked(engine, false, now_);
  }
  Exchange();
  CHECK_EQUAL(0, BlockingHosts(kBad));
}

TEST(CrashSuspects, BlockedPartIsTriedSeldomAndByOneRequestAtATime) {
  for (int it = 0; it < 5; ++it)
    EndEngineUnder(AnyHost(), {kCommon, kBad});
  hosts_[0].OnSurvived(std::vector{kCommon}, now_);
  Exchange();
  int trials = 0;
  const std::vector<SuspectId> parts{kCommon, kBad};
  for (int second = 0; second < 600; ++second) {
    Advance(1000);
    for (CrashSuspects& it : hosts_) {
      const CrashSuspects::Admission admission =
          it.Admit(parts, std::nullopt, now_);
      CHECK_EQUAL(admission.is_trial, admission.admitted);
      if (!admission.is_trial)
        continue;
      ++trials;
      EndEngineUnder(it, {kBad});
    }
    hosts_[0].OnSurvived(std::vector{kCommon}, now_);
    Exchange();
  }
  CHECK_TRUE(trials >= 1);
  CHECK_TRUE(trials <= 3);
}

TEST(CrashSuspects, RestartedHostLearnsOfSeveralBlockedRequests) {
  std::vector<RequestNames> blocked;
  for (std::uint64_t it = 0; it < 3; ++it) {
    const std::uint64_t name = SuspectId::kRequestBit | (10 * it);
    blocked.push_back({{name}, {name + 1}, {name + 2}});
    for (int crash = 0; crash < 6; ++crash) {
      const ServerIncarnation server = Engine(next_engine_++);
      hosts_[0].OnBroken({}, blocked.back(), server, now_);
      hosts_[0].OnServerChecked(server, false, now_);
    }
  }
  hosts_[1].OnReport(hosts_[0].Report(now_), now_);
  for (const RequestNames& it : blocked)
    CHECK_TRUE(hosts_[1].IsBlocked({}, it, now_));
}

TEST(CrashSuspects, SuccessfulTrialUnblocks) {
  for (int it = 0; it < 3; ++it)
    EndEngineUnder(AnyHost(), {kBad});
  Exchange();
  Advance(11'000);
  int trials = 0;
  for (CrashSuspects& it : hosts_) {
    const CrashSuspects::Admission admission =
        it.Admit(std::vector{kBad}, std::nullopt, now_);
    if (!admission.admitted)
      continue;
    ++trials;
    it.OnSurvived(std::vector{kBad}, now_);
  }
  CHECK_EQUAL(1, trials);
  Exchange();
  CHECK_EQUAL(0, BlockingHosts(kBad));
}

TEST(CrashSuspects, RestartedHostLearnsFromTheOthers) {
  for (int it = 0; it < 3; ++it)
    EndEngineUnder(hosts_[0], {kBad});
  Exchange();
  hosts_[0] = CrashSuspects("10.0.0.0");
  Advance(60'000);
  Exchange();
  CHECK_EQUAL(kHosts, BlockingHosts(kBad));
}

TEST(CrashSuspects, MemoryIsBoundedWhenNoPromptIsRepeated) {
  for (std::uint64_t it = 0; it < 5000; ++it) {
    EndEngineUnder(hosts_[0], {kBad, {1'000'000 + it}});
    hosts_[0].OnSurvived(std::vector{SuspectId{2'000'000 + it}}, now_);
    Advance(10);
  }
  const CrashReport report = hosts_[0].Report(now_);
  CHECK_TRUE(report.crashes.size() <= CrashReport::kMaxCrashes);
  CHECK_TRUE(report.survivals.size() <= CrashReport::kMaxSurvivals);
  CHECK_TRUE(hosts_[0].suspect_count() <= CrashSuspects::kMaxSuspects);
  CHECK_TRUE(hosts_[0].IsBlocked(std::vector{kBad}, std::nullopt, now_));
  Advance(31 * 60 * 1000);
  hosts_[0].Expire(now_);
  CHECK_EQUAL(0U, hosts_[0].suspect_count());
}

TEST(CrashSuspects, DelayedReportsDoNotAnswerEachOtherForEver) {
  EndEngineUnder(hosts_[0], {kCommon});
  Advance(1);
  hosts_[1].OnSurvived(std::vector{kCommon}, now_);
  std::vector<std::uint64_t> sent(hosts_.size(), 0);
  int messages = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<std::pair<std::size_t, CrashReport>> reports;
    for (std::size_t it = 0; it < hosts_.size(); ++it) {
      const bool is_due = round % 100 == 0;
      if (!is_due && std::exchange(sent[it], hosts_[it].revision()) ==
                         hosts_[it].revision())
        continue;
      reports.emplace_back(it, hosts_[it].Report(now_));
      messages += is_due ? 0 : 1;
    }
    Advance(3);
    for (const auto& [from, report] : reports) {
      for (std::size_t to = 0; to < hosts_.size(); ++to) {
        if (to != from)
          hosts_[to].OnReport(report, now_);
      }
    }
  }
  CHECK_TRUE(messages <= 3 * kHosts);
}

TEST(CrashSuspects, BlockedPartIsNotForgottenForOthers) {
  for (int it = 0; it < 3; ++it)
    EndEngineUnder(hosts_[0], {kBad});
  for (std::uint64_t it = 0; it < 2 * CrashSuspects::kMaxSuspects; ++it) {
    Advance(10);
    EndEngineUnder(hosts_[0], {{1'000'000 + it}});
  }
  CHECK_TRUE(hosts_[0].suspect_count() <= CrashSuspects::kMaxSuspects);
  CHECK_TRUE(hosts_[0].IsBlocked(std::vector{kBad}, std::nullopt, now_));
}

TEST(CrashSuspects, HostsThatAgreeSendNothingAtOnce) {
  EndEngineUnder(hosts_[0], {kCommon, kBad});
  hosts_[1].OnSurvived(std::vector{kCommon}, now_);
  Exchange();
  Exchange();
  Exchange();
  std::vector<std::uint64_t> revisions;
  for (const CrashSuspects& it : hosts_)
    revisions.push_back(it.revision());
  Advance(300);
  hosts_[2].OnSurvived(std::vector{kCommon}, now_);
  Exchange();
  Exchange();
  for (std::size_t it = 0; it < hosts_.size(); ++it)
    CHECK_EQUAL(revisions[it], hosts_[it].revision());
}

}  // namespace briarlead
