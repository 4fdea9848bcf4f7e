#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "briarlead_forward/forward_fixture.h"

namespace briarlead {

namespace {

/// Time that a message between two hosts takes, and of the simulation's steps.
constexpr int kTickMs = 5;
constexpr int kReportIntervalMs = 300;
constexpr int kServiceTimeMs = 15;
/// Time in which hosts must have agreed on a limit.
constexpr int kAgreementMs = 3000;
constexpr Duration kWindow = std::chrono::seconds(4);

/// Time after which a host that read a limit is held to it.
constexpr Duration kTold = std::chrono::milliseconds(500);
const std::vector<std::string> kServers = {"s1", "s2", "s3", "s4"};

/// A request that reached a server.
struct Arrival {
  TimePoint at;
  std::string server;
  bool from_told_host = false;
};

}  // namespace

// Entry hosts before one service of four servers, some of which name a limit in
// their answers.
TEST_GROUP(ServerLimit) {
  std::vector<std::unique_ptr<ForwardFixture>> hosts_;
  RandomSource random_{SeedOr(29)};
  std::map<std::string, double> limits_;
  std::vector<Arrival> arrivals_;
  int refused_ = 0;
  int refused_late_ = 0;
  bool exchanges_reports_ = true;
  int questions_ = 0;
  std::set<std::size_t> cut_off_;  ///< Hosts that exchange no messages.

  struct Running {
    std::size_t host = 0;
    std::unique_ptr<ForwardFlow> flow;
    AttemptNumber attempt = 0;
    std::string server;
    TimePoint starts;
    TimePoint ends;
  };
  std::vector<Running> running_;
  /// When each host first read each server's limit.
  std::map<std::pair<std::size_t, std::string>, TimePoint> told_;

  /// A question for permits, or its reply, on the way between hosts.
  struct Message {
    std::size_t from = 0;
    std::size_t to = 0;
    std::variant<SendPermitRequest, SendPermitReply, ServerLimitReport> content;
  };
  std::vector<Message> messages_;
  std::vector<std::uint64_t> reported_;
  int elapsed_ms_ = 0;

  static Endpoint PeersOf(std::size_t host) {
    return {"10.0.0." + std::to_string(host), 7001};
  }
  void AddHosts(int n) {
    std::vector<EntryHost> fleet;
    for (std::size_t it = 0; it < static_cast<std::size_t>(n); ++it) {
      fleet.push_back(
          {PeersOf(it), DataCentreId("dc" + std::to_string(it % 3))});
      hosts_.push_back(std::make_unique<ForwardFixture>(PeersOf(it).address));
      for (const std::string& server : kServers)
        hosts_.back()->Announce(server.c_str(), "desk");
    }
    for (const auto& it : hosts_)
      it->permit_owners_.SetHosts(fleet);
    reported_.assign(hosts_.size(), 0);
  }
  std::size_t HostAt(const Endpoint& peers) {
    for (std::size_t it = 0; it < hosts_.size(); ++it) {
      if (PeersOf(it) == peers)
        return it;
    }
    return 0;
  }
  void Deliver(const Message& it) {
    if (cut_off_.contains(it.from) || cut_off_.contains(it.to))
      return;
    ForwardFixture& host = *hosts_[it.to];
    if (const auto* report = std::get_if<ServerLimitReport>(&it.content)) {
      for (const ServerLimitNotice& notice : report->notices)
        host.limits_.OnNotice(notice, Now());
    } else if (const auto* ask = std::get_if<SendPermitRequest>(&it.content)) {
      messages_.push_back(
          {it.to, it.from, host.permit_issuer_.OnRequest(*ask, Now())});
    } else {
      const auto& reply = std::get<SendPermitReply>(it.content);
      host.limits_.OnNotice(reply.limit, Now());
      if (!host.permits_.OnReply(PeersOf(it.from), reply, Now()))
        return;
      for (Running& request : running_) {
        if (request.host == it.to)
          request.flow->OnPermitsChanged(Now());
      }
    }
  }
  /// Delivers what was sent in the last step and sends what is due in this one.
  void Exchange() {
    for (const Message& it : std::exchange(messages_, {}))
      Deliver(it);
    for (std::size_t from = 0; from < hosts_.size(); ++from) {
      ForwardFixture& host = *hosts_[from];
      for (const AskForPermits& it : host.permits_.TakeQuestions()) {
        messages_.push_back({from, HostAt(it.owner), it.request});
        ++questions_;
      }
      const bool is_due =
          exchanges_reports_ && (elapsed_ms_ % kReportIntervalMs == 0 ||
                                 reported_[from] != host.limits_.revision());
      reported_[from] = host.limits_.revision();
      const ServerLimitReport report{host.limits_.OwnNotices(Now())};
      for (std::size_t to = 0; is_due && to < hosts_.size(); ++to)
        messages_.push_back({from, to, report});
    }
  }
  TimePoint Now() {
    return hosts_.front()->now_;
  }
  double LimitOf(const std::string& server) {
    const auto found = limits_.find(server);
    return found == limits_.end() ? kNoRateLimit : found->second;
  }
  /// Follows the commands of a request: notes a send, a refusal and the end.
  bool Follow(Running & it) {
    const auto commands = it.flow->TakeCommands();
    if (!CommandsOf<SendOwnResponse>(commands).empty()) {
      ++refused_;
      refused_late_ +=
          Now() - it.starts > std::chrono::milliseconds(100) ? 1 : 0;
    }
    const auto sent = CommandsOf<SendToServer>(commands);
    if (sent.empty())
      return !it.flow->done();
    it.attempt = sent.back().attempt;
    it.server = sent.back().server.id.value();
    it.ends = Now() + std::chrono::milliseconds(kServiceTimeMs);
    const auto told = told_.find({it.host, it.server});
    arrivals_.push_back({Now(), it.server,
                         told != told_.end() && Now() - told->second >= kTold});
    return true;
  }
  void Answer(Running & it) {
    ResponseFacts facts = {200, false, false, true};
    facts.rate_limit = LimitOf(it.server);
    if (facts.rate_limit != kNoRateLimit)
      told_.try_emplace({it.host, it.server}, Now());
    it.flow->OnHead(it.attempt, facts, Now());
    it.flow->OnComplete(it.attempt, Now());
  }
  void Start(std::size_t host) {
    Running request;
    request.host = host;
    request.flow = hosts_[host]->MakeFlow("unsafe");
    request.starts = Now();
    request.flow->Start(Now());
    if (Follow(request))
      running_.push_back(std::move(request));
  }
  /// Passes `milliseconds` with `per_second` requests to all hosts together.
  void Run(int milliseconds, double per_second) {
    for (int it = 0; it < milliseconds; it += kTickMs) {
      for (const auto& host : hosts_)
        host->Advance(kTickMs);
      double due = per_second * kTickMs / 1000;
      for (; due >= 1 || random_.Unit() < due; --due)
        Start(random_.Below(hosts_.size()));
      elapsed_ms_ += kTickMs;
      Exchange();
      std::vector<Running> others;
      for (Running& request : running_) {
        if (Now() >= request.flow->NextWake())
          request.flow->OnWake(Now());
        if (request.attempt != 0 && Now() >= request.ends)
          Answer(request);
        if (Follow(request))
          others.push_back(std::move(request));
      }
      running_ = std::move(others);
    }
  }
  /// Returns the most requests that reached `server` within 4 s since `since`;
  /// of all hosts, or of those that had read its limit.
  int MostArrivals(const std::string& server, TimePoint since, bool of_all) {
    std::deque<TimePoint> window;
    std::size_t most = 0;
    for (const Arrival& it : arrivals_) {
      if (it.server != server || it.at < since ||
          (!of_all && !it.from_told_host))
        continue;
      window.push_back(it.at);
      while (it.at - window.front() >= kWindow)
        window.pop_front();
      most = std::max(most, window.size());
    }
    return static_cast<int>(most);
  }
  int ArrivalsSince(const std::string& server, TimePoint since) {
    int n = 0;
    for (const Arrival& it : arrivals_)
      n += it.server == server && it.at >= since ? 1 : 0;
    return n;
  }
  /// Returns what the users allow within kWindow.
  static int Allowed(double limit) {
    return static_cast<int>(1.5 * limit * ToSeconds(kWindow)) + 5;
  }
};

TEST(ServerLimit, AllHostsTogetherKeepToTheLimitThatAServerNames) {
  AddHosts(9);
  Run(2000, 70);
  limits_["s1"] = 3.8;
  Run(kAgreementMs, 70);
  const TimePoint agreed = Now();
  Run(12'000, 70);
  CHECK_TRUE(MostArrivals("s1", agreed, true) <= Allowed(3.8));
  // What the server takes is used.
  CHECK_TRUE(ArrivalsSince("s1", agreed) >= 0.8 * 3.8 * 12);
  CHECK_EQUAL(0, refused_);
}

TEST(ServerLimit, LimitHoldsForManyHostsUnderABurstACutAndRestartsAndThenEnds) {
  exchanges_reports_ = false;
  AddHosts(54);
  limits_["s1"] = 3.8;
  Run(kAgreementMs, 300);
  const TimePoint agreed = Now();
  Run(2000, 1200);
  for (std::size_t it = 0; it < 18; ++it)
    cut_off_.insert(it);
  Run(3000, 300);
  cut_off_.clear();
  for (std::size_t it = 20; it < 30; ++it)
    hosts_[it]->limits_ = ServerLimits();
  Run(6000, 300);
  CHECK_TRUE(MostArrivals("s1", agreed, false) <= Allowed(3.8));
  limits_.clear();
  Run(8000, 300);
  const TimePoint ended = Now();
  Run(2000, 300);
  CHECK_TRUE(ArrivalsSince("s1", ended) >= 2 * 300 / 4 / 2);
}

TEST(ServerLimit, HostsThatOnlyReadAnswersKeepToTheLimitToo) {
  exchanges_reports_ = false;
  AddHosts(294);
  for (const double it : {0.25, 3.8, 40.0}) {
    limits_["s1"] = it;
    Run(kAgreementMs, 400);
    const TimePoint agreed = Now();
    Run(8000, 400);
    CHECK_TRUE(MostArrivals("s1", agreed, false) <= Allowed(it));
  }
}

TEST(ServerLimit, EachHostAsksAnOwnerThatHasNoPermitsAtMostThriceASecond) {
  exchanges_reports_ = false;
  AddHosts(294);
  limits_["s1"] = 3.8;
  Run(kAgreementMs, 4000);
  questions_ = 0;
  Run(4000, 4000);
  CHECK_TRUE(questions_ <= 3 * 4 * 294);
}

TEST(ServerLimit, ServerThatTakesNothingIsAskedNowAndThenUntilItsLimitEnds) {
  AddHosts(9);
  limits_["s1"] = 0;
  Run(kAgreementMs, 70);
  const TimePoint agreed = Now();
  Run(24'000, 70);
  CHECK_TRUE(MostArrivals("s1", agreed, true) <= 2);
  CHECK_TRUE(ArrivalsSince("s1", agreed) >= 2);
  limits_.clear();
  Run(8000, 70);
  const TimePoint ended = Now();
  Run(4000, 70);
  CHECK_TRUE(ArrivalsSince("s1", ended) >= 4 * 70 / 4 / 2);
}

TEST(ServerLimit, RequestsBeyondWhatAllServersTakeAreRefusedAtOnce) {
  AddHosts(9);
  for (const std::string& it : kServers)
    limits_[it] = 4;
  Run(kAgreementMs, 70);
  const TimePoint agreed = Now();
  refused_ = 0;
  refused_late_ = 0;
  Run(12'000, 70);
  int served = 0;
  for (const std::string& it : kServers) {
    served += ArrivalsSince(it, agreed);
    CHECK_TRUE(MostArrivals(it, agreed, true) <= Allowed(4));
  }
  CHECK_TRUE(served >= 0.8 * 4 * 4 * 12);
  CHECK_TRUE(refused_ > 0);
  CHECK_EQUAL(0, refused_late_);
}

TEST(ServerLimit, RequestWaitsForItsPermit) {
  AddHosts(2);
  for (const std::string& it : kServers)
    limits_[it] = 5;
  Run(4000, 10);
  refused_ = 0;
  const TimePoint agreed = Now();
  Run(8000, 10);
  CHECK_EQUAL(0, refused_);
  int served = 0;
  for (const std::string& it : kServers)
    served += ArrivalsSince(it, agreed);
  CHECK_TRUE(served >= 60);
}

TEST(ServerLimit, HostsCutOffFromTheOwnerUseAStandby) {
  AddHosts(9);
  limits_["s1"] = 8;
  Run(kAgreementMs, 70);
  const Endpoint owner =
      hosts_[0]->permit_owners_.Of(BackendServerId("s1")).at(0);
  cut_off_ = {HostAt(owner)};
  Run(2000, 70);
  const TimePoint since = Now();
  Run(8000, 70);
  CHECK_TRUE(MostArrivals("s1", since, true) <= Allowed(8));
  CHECK_TRUE(ArrivalsSince("s1", since) > 8);
}

TEST(ServerLimit, RestartedHostsKeepToTheLimit) {
  AddHosts(9);
  limits_["s1"] = 3.8;
  Run(kAgreementMs, 70);
  const TimePoint agreed = Now();
  for (std::size_t it = 0; it < hosts_.size(); ++it) {
    hosts_[it]->limits_ = ServerLimits();
    Run(1000, 70);
  }
  CHECK_TRUE(MostArrivals("s1", agreed, true) <= Allowed(3.8));
}

TEST(ServerLimit, PermitsOfAHigherLimitAreVoidOnceItFalls) {
  AddHosts(9);
  limits_["s1"] = 100;
  Run(kAgreementMs, 200);
  limits_["s1"] = 2;
  Run(100, 200);
  const TimePoint told = Now();
  Run(8000, 200);
  CHECK_TRUE(MostArrivals("s1", told, true) <= Allowed(2));
}

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
