#include <cmath>
#include <optional>

#include "briarlead_forward/forward_fixture.h"

namespace briarlead {

TEST_GROUP(ServerLimits) {
  const ServerIncarnation server_{BackendServerId("s1"), 1};
  ServerLimits limits_;
  TimePoint now_{std::chrono::seconds(100)};

  TimePoint At(int milliseconds) {
    return now_ + std::chrono::milliseconds(milliseconds);
  }
};

TEST(ServerLimits, AnswerOfARequestSentBeforeTheLimitWasReadDoesNotEndIt) {
  limits_.OnAnswer(server_, 3.8, At(0), At(20));
  limits_.OnAnswer(server_, kNoRateLimit, At(10), At(60));
  CHECK_TRUE(limits_.IsLimited(server_));
  limits_.OnAnswer(server_, kNoRateLimit, At(21), At(80));
  CHECK_FALSE(limits_.IsLimited(server_));
}

TEST(ServerLimits, NewestNoticeHolds) {
  const auto told = [&](double per_second, int age_ms) {
    return ServerLimitNotice{server_, per_second,
                             std::chrono::milliseconds(age_ms)};
  };
  limits_.OnAnswer(server_, 5.5, At(0), At(100));
  CHECK_FALSE(limits_.OnNotice(told(3.8, 60), At(120)));
  CHECK_TRUE(limits_.LimitOf(server_) == 5.5);
  CHECK_TRUE(limits_.OnNotice(told(3.8, 10), At(150)));
  CHECK_TRUE(limits_.LimitOf(server_) == 3.8);
  CHECK_TRUE(limits_.OwnNotices(At(150)).empty());
  CHECK_TRUE(limits_.OnNotice(told(kNoRateLimit, 0), At(200)));
  // An older notice does not revive the limit.
  CHECK_FALSE(limits_.OnNotice(told(3.8, 100), At(250)));
  CHECK_FALSE(limits_.IsLimited(server_));
}

TEST(ServerLimits, NoticesThatNameNoRateAreDropped) {
  for (const double it : {-1.0, std::nan("")})
    CHECK_FALSE(limits_.OnNotice({server_, it, Duration::zero()}, now_));
  CHECK_FALSE(limits_.OnNotice({server_, 3, Duration(-5)}, now_));
  CHECK_FALSE(limits_.IsAnyLimited());
}

TEST(ServerLimits, LimitEndsWithItsIncarnationAndNotByTime) {
  ForwardFixture fixture;
  fixture.Announce("s1", "desk");
  limits_.OnAnswer(server_, 3.8, now_, now_);
  now_ += std::chrono::hours(1);
  limits_.Expire(fixture.directory_, now_);
  CHECK_TRUE(limits_.IsLimited(server_));
  fixture.directory_.MarkGone(server_.id, 1, now_);
  limits_.Expire(fixture.directory_, now_);
  CHECK_FALSE(limits_.IsLimited(server_));
}

TEST_GROUP(SendPermits) {
  const ServerIncarnation server_{BackendServerId("s1"), 1};
  const Endpoint owner_{"10.0.0.1", 7001};
  ForwardFixture fixture_;

  void setup() override {
    const EntryHost host{owner_, DataCentreId("here")};
    fixture_.permit_owners_.SetHosts({&host, 1});
    fixture_.limits_.OnAnswer(server_, 2, fixture_.now_, fixture_.now_);
  }
  bool MaySend() {
    return fixture_.permits_.MaySend(server_, fixture_.now_);
  }
  /// Asks and returns the question, if there is one.
  std::optional<SendPermitRequest> Ask(int within_ms) {
    fixture_.permits_.Want(server_, std::chrono::milliseconds(within_ms),
                           fixture_.now_);
    const auto questions = fixture_.permits_.TakeQuestions();
    if (questions.empty())
      return std::nullopt;
    return questions.front().request;
  }
  void Reply(const SendPermitRequest& question) {
    fixture_.permits_.OnReply(
        owner_, fixture_.permit_issuer_.OnRequest(question, fixture_.now_),
        fixture_.now_);
  }
};

TEST(SendPermits, PermitServesOneRequestBetweenItsStartAndItsEnd) {
  Reply(*Ask(1000));
  CHECK_FALSE(MaySend());
  fixture_.Advance(500);
  CHECK_TRUE(MaySend());
  fixture_.permits_.Use(server_, fixture_.now_);
  CHECK_FALSE(MaySend());
  Reply(*Ask(1000));
  fixture_.Advance(1100);
  CHECK_FALSE(MaySend());
}

TEST(SendPermits, OwnerThatGaveNoneIsNotAskedBeforeItsTime) {
  Reply(*Ask(100));
  CHECK_FALSE(Ask(100).has_value());
  fixture_.Advance(300);
  CHECK_FALSE(Ask(100).has_value());
  fixture_.Advance(100);
  CHECK_TRUE(Ask(100).has_value());
}

TEST(SendPermits, LateReplyGivesNoPermit) {
  const auto question = Ask(1000);
  fixture_.Advance(70);
  Ask(1000);
  Reply(*question);
  fixture_.Advance(500);
  CHECK_FALSE(MaySend());
}

TEST(SendPermits, HostThatOwnsNothingGivesNone) {
  const std::vector<EntryHost> fleet = {
      {{"10.0.0.1", 7001}, DataCentreId("a")},
      {{"10.0.0.2", 7001}, DataCentreId("b")}};
  int owners = 0;
  int standbys = 0;
  for (const EntryHost& it : fleet) {
    PermitOwners permit_owners{it.peers};
    permit_owners.SetHosts(fleet);
    owners += permit_owners.ShareOf(server_.id) == 1 ? 1 : 0;
    standbys += permit_owners.ShareOf(server_.id) < 1 ? 1 : 0;
  }
  CHECK_EQUAL(1, owners);
  CHECK_EQUAL(1, standbys);
  PermitOwners unknown{{"10.0.0.9", 7001}};
  CHECK_TRUE(unknown.ShareOf(server_.id) == 0);
}

}  // namespace briarlead
