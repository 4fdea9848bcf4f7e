#include "briarlead_forward/directory_freshness.h"
#include "briarlead_forward/origin_finder.h"
#include "briarlead_forward/stream_origins.h"

#include <CppUTest/TestHarness.h>

namespace briarlead {

namespace {

const ServiceId kModels("models");
const ServiceVersion kFirst{kModels, SoftwareVersion("v1")};
const std::vector<WeightedService> kRouted = {{kModels, 1}};

std::vector<Endpoint> ControlHosts(int n) {
  std::vector<Endpoint> hosts;
  for (int it = 1; it <= n; ++it)
    hosts.push_back({"10.0.0." + std::to_string(it), 7000});
  return hosts;
}

}  // namespace

TEST_GROUP(StreamOrigins) {
  ServerDirectory directory_;
  StreamOrigins origins_{directory_};
  TimePoint now_{std::chrono::seconds(100)};
  std::vector<Endpoint> hosts_ = ControlHosts(5);

  void setup() override {
    origins_.SetCurrent(true);
    Announce("1", "v1", 1);
  }
  void Announce(const char* id, const char* software, std::uint64_t born_ms) {
    ServerRecord record;
    record.id = BackendServerId(id);
    record.service = kModels;
    record.address = {id, 80};
    record.software = SoftwareVersion(software);
    record.born_ms = born_ms;
    directory_.Merge(record, now_);
  }
  std::size_t ReportedNow() {
    std::size_t n = 0;
    for (const OutgoingOriginReport& it : origins_.TakeReports(hosts_, now_)) {
      for (const auto& group : it.report.groups)
        n += group.streams.size();
    }
    return n;
  }
  bool IsSole(const char* software) {
    return origins_.SoleVersion(kRouted, kModels) == SoftwareVersion(software);
  }
};

TEST(StreamOrigins, NothingIsToldWhileOneVersionServes) {
  origins_.OnBegun({1}, kFirst, now_);
  CHECK_EQUAL(0U, ReportedNow());
}

TEST(StreamOrigins, StreamsThatBeganBeforeASecondVersionAreToldOnce) {
  origins_.OnBegun({1}, kFirst, now_);
  Announce("2", "v2", 1);
  CHECK_EQUAL(StreamOrigins::kHolders, ReportedNow());
  CHECK_EQUAL(0U, ReportedNow());
  now_ += StreamOrigins::kRepeatInterval;
  CHECK_EQUAL(StreamOrigins::kHolders, ReportedNow());
}

TEST(StreamOrigins, CompleteStreamsAreForgottenAndBrokenOnesKept) {
  Announce("2", "v2", 1);
  origins_.OnBegun({1}, kFirst, now_);
  origins_.OnBegun({2}, kFirst, now_);
  origins_.OnEnded({1}, true, now_);
  origins_.OnEnded({2}, false, now_);
  CHECK_FALSE(origins_.Find({1}).has_value());
  CHECK_TRUE(origins_.Find({2}) == kFirst);
  CHECK_EQUAL(StreamOrigins::kHolders, ReportedNow());
  now_ += StreamOrigins::kLife;
  CHECK_EQUAL(0U, ReportedNow());
  CHECK_FALSE(origins_.Find({2}).has_value());
}

TEST(StreamOrigins, HolderThatRestartedIsToldAgain) {
  Announce("2", "v2", 1);
  origins_.OnBegun({1}, kFirst, now_);
  CHECK_EQUAL(StreamOrigins::kHolders, ReportedNow());
  origins_.OnHolderRestarted();
  CHECK_EQUAL(StreamOrigins::kHolders, ReportedNow());
}

TEST(StreamOrigins, HoldersAreAskedAlsoIfAnotherControlHostHasJoined) {
  for (std::uint64_t it = 0; it < 200; ++it) {
    const auto told = HoldersOf({it}, ControlHosts(5), StreamOrigins::kHolders);
    const auto asked =
        HoldersOf({it}, ControlHosts(6), OriginFinder::kHostsAsked);
    for (const Endpoint& holder : told)
      CHECK_TRUE(std::count(asked.begin(), asked.end(), holder) == 1);
  }
}

TEST(StreamOrigins, OnlyVersionIsSoleUntilAnotherServes) {
  CHECK_TRUE(IsSole("v1"));
  Announce("2", "v2", 1);
  CHECK_FALSE(origins_.SoleVersion(kRouted, kModels).has_value());
}

TEST(StreamOrigins, VersionThatIsGoneStillCounts) {
  Announce("2", "v2", 1);
  directory_.MarkGone(BackendServerId("1"), 1, now_);
  CHECK_FALSE(origins_.SoleVersion(kRouted, kModels).has_value());
  now_ += ServerDirectory::kRecordLife;
  Announce("2", "v2", 1);
  directory_.Expire(now_);
  CHECK_TRUE(IsSole("v2"));
}

TEST(StreamOrigins, ServerThatStartsAgainWithAnotherVersionCountsTwice) {
  Announce("1", "v2", 2);
  CHECK_FALSE(origins_.SoleVersion(kRouted, kModels).has_value());
  CHECK_EQUAL(1U, directory_.MixedServices().size());
  now_ += ServerDirectory::kRecordLife;
  Announce("1", "v2", 2);
  directory_.Expire(now_);
  CHECK_TRUE(IsSole("v2"));
}

TEST(StreamOrigins, NoVersionIsSoleWhileTheDirectoryMayBeOld) {
  origins_.SetCurrent(false);
  CHECK_FALSE(origins_.SoleVersion(kRouted, kModels).has_value());
}

TEST_GROUP(OriginFinder) {
  OriginFinder finder_;
  TimePoint now_{std::chrono::seconds(100)};
  std::vector<Endpoint> asked_;
  std::vector<OriginFound> found_;

  void Take() {
    asked_.clear();
    found_.clear();
    for (const OriginFinderCommand& it : finder_.TakeCommands()) {
      if (const auto* send = std::get_if<SendOriginQuery>(&it))
        asked_.push_back(send->host);
      else
        found_.push_back(std::get<OriginFound>(it));
    }
  }
  void Ask() {
    finder_.Ask(7, {1}, ControlHosts(5), now_);
    Take();
  }
};

TEST(OriginFinder, FirstHostThatKnowsAnswers) {
  Ask();
  CHECK_EQUAL(OriginFinder::kHostsAsked, asked_.size());
  finder_.OnReply(asked_[0], {{1}, std::nullopt});
  finder_.OnReply(asked_[1], {{1}, kFirst});
  Take();
  CHECK_EQUAL(1U, found_.size());
  CHECK_TRUE(found_[0].key == 7 && found_[0].origin == kFirst);
  CHECK_TRUE(finder_.NextWake() == TimePoint::max());
}

TEST(OriginFinder, NobodyKnowsOnceAllHaveAnswered) {
  Ask();
  for (const Endpoint& it : std::vector(asked_))
    finder_.OnReply(it, {{1}, std::nullopt});
  Take();
  CHECK_EQUAL(1U, found_.size());
  CHECK_FALSE(found_[0].origin.has_value());
}

TEST(OriginFinder, HostsWithoutAnAnswerAreAskedAgainUntilTheTimeIsOver) {
  Ask();
  const Endpoint first = asked_[0];
  finder_.OnReply(first, {{1}, std::nullopt});
  now_ = finder_.NextWake();
  finder_.OnWake(now_);
  Take();
  CHECK_EQUAL(OriginFinder::kHostsAsked - 1, asked_.size());
  CHECK_EQUAL(0, std::count(asked_.begin(), asked_.end(), first));
  now_ += OriginFinder::kTimeout;
  finder_.OnWake(now_);
  Take();
  CHECK_EQUAL(1U, found_.size());
}

TEST(OriginFinder, WithoutControlHostsNobodyKnows) {
  finder_.Ask(7, {1}, {}, now_);
  CHECK_TRUE(finder_.NextWake() <= now_);
  finder_.OnWake(now_);
  Take();
  CHECK_EQUAL(1U, found_.size());
}

TEST_GROUP(DirectoryFreshness) {
  DirectoryFreshness freshness_;
  TimePoint now_{std::chrono::seconds(100)};

  /// Steps for `time`; returns whether the directory is current at its end.
  bool Run(Duration time, bool hears_majority) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += std::chrono::milliseconds(100);
      freshness_.OnStep(hears_majority, now_);
    }
    return freshness_.IsCurrent(hears_majority, now_);
  }
};

TEST(DirectoryFreshness, IsCurrentOnceMostControlHostsAnswer) {
  CHECK_FALSE(Run(std::chrono::seconds(1), false));
  CHECK(Run(std::chrono::milliseconds(100), true));
}

TEST(DirectoryFreshness, HostThatWasCutOffComparesBeforeItTrusts) {
  Run(std::chrono::seconds(1), true);
  CHECK_FALSE(Run(std::chrono::seconds(1), false));
  CHECK_FALSE(Run(std::chrono::milliseconds(500), true));
  CHECK(Run(DirectoryFreshness::kSettleTime, true));
}

TEST(DirectoryFreshness, HostThatStoodStillComparesBeforeItTrusts) {
  Run(std::chrono::seconds(1), true);
  now_ += std::chrono::seconds(2);
  CHECK_FALSE(freshness_.IsCurrent(true, now_));
  CHECK_FALSE(Run(std::chrono::milliseconds(500), true));
  CHECK(Run(DirectoryFreshness::kSettleTime, true));
}

}  // namespace briarlead
