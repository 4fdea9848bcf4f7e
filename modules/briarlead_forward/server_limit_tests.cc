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

}  // namespace briarlead
