#include "briarlead_state/order_issuer.h"

#include <algorithm>
#include <cstdlib>
#include <string>
#include <utility>

#include "briarlead_core/random_source.h"
#include "briarlead_state/order_book.h"

// After the others: it redefines new.
#include <CppUTest/TestHarness.h>

namespace briarlead {
namespace {

constexpr Duration kLease = std::chrono::seconds(2);
constexpr Duration kLongestOrder = std::chrono::seconds(5);
constexpr Duration kStep = std::chrono::milliseconds(50);
constexpr TimePoint kEnd(std::chrono::seconds(90));
constexpr std::uint64_t kSeeds = 1000;

OrderLimits Limits() {
  return {.longest_lease = kLease, .longest_order = kLongestOrder};
}

EngineOrder OrderFor(const char* server, bool checks_fencing) {
  return {OrderKind::kVersion, BackendServerId(server), ModelId("m"), "v2",
          checks_fencing};
}

/// A backend server: orders take effect some time after they were sent.
struct FakeServer {
  struct Arrival {
    TimePoint at;
    std::uint64_t term = 0;
    std::uint64_t fencing = 0;
    std::size_t sender = 0;
  };
  bool checks_fencing = false;
  std::vector<Arrival> under_way;
  std::vector<Arrival> done;
  std::uint64_t newest_fencing = 0;
  std::uint64_t newest_term = 0;
  std::uint64_t effects = 0;

  /// Returns false when an order took effect after a newer one.
  bool Take(TimePoint now) {
    bool kept = true;
    std::sort(under_way.begin(), under_way.end(),
              [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
    while (!under_way.empty() && under_way.front().at <= now) {
      const Arrival it = under_way.front();
      under_way.erase(under_way.begin());
      if (checks_fencing && it.fencing <= newest_fencing)
        continue;
      kept = kept && it.fencing > newest_fencing && it.term >= newest_term;
      newest_term = std::max(newest_term, it.term);
      newest_fencing = std::max(newest_fencing, it.fencing);
      ++effects;
      done.push_back(it);
    }
    return kept;
  }
};

/// Two control hosts that take turns, are isolated, frozen and thawed.
class OrderRace {
 public:
  explicit OrderRace(std::uint64_t seed) : random_(seed) {
    servers_[1].checks_fencing = true;
    Elect(0);
  }

  bool Run() {
    bool kept = true;
    while (now_ < kEnd) {
      now_ += kStep;
      if (random_.Chance(0.01))
        Stop(frozen_until_);
      if (random_.Chance(0.01))
        Stop(isolated_until_);
      // A majority elects another only when the old lease has run out.
      if (now_ > lease_end_ && random_.Chance(0.2))
        Elect(1 - leader_);
      for (std::size_t it = 0; it < 2; ++it) {
        if (now_ >= frozen_until_[it])
          Act(it);
      }
      for (FakeServer& it : servers_) {
        kept = it.Take(now_) && kept;
        Acknowledge(it);
      }
    }
    effects = servers_[0].effects + servers_[1].effects;
    return kept;
  }

  std::uint64_t effects = 0;
  std::uint64_t terms = 0;

 private:
  void Acknowledge(FakeServer& server) {
    for (const FakeServer::Arrival& it : std::exchange(server.done, {})) {
      if (now_ >= frozen_until_[it.sender])
        issuers_[it.sender].OnOrderAnswered(it.fencing, true, now_);
    }
  }

  /// Freezes or isolates the leader for a time.
  void Stop(TimePoint* until) {
    until[leader_] = now_ + random_.Between({}, std::chrono::seconds(15));
  }

  void Elect(std::size_t next) {
    if (now_ < frozen_until_[next] || now_ < isolated_until_[next])
      return;
    leader_ = next;
    ++terms;
    lease_end_ = now_ + kLease;
    issuers_[next].OnElected(terms, lease_end_, now_);
    next_order_[next] = now_;
  }

  /// A host that was thawed acts on what it believes.
  void Act(std::size_t it) {
    OrderIssuer& issuer = issuers_[it];
    const bool renews =
        it == leader_ && now_ <= lease_end_ && random_.Chance(0.9);
    if (renews) {
      lease_end_ = now_ + kLease;
      issuer.OnLease(lease_end_, now_);
    }
    if (now_ >= next_order_[it]) {
      next_order_[it] = now_ + std::chrono::milliseconds(400);
      issuer.Request(OrderFor("ignores", false), now_);
      issuer.Request(OrderFor("checks", true), now_);
    }
    issuer.Tick(now_);
    for (const OrderCommand& command : issuer.TakeCommands())
      std::visit([&](const auto& body) { Do(it, body); }, command);
  }

  void Do(std::size_t it, const ProposeOrderCommand& command) {
    // Proposals of a host that has no majority are lost.
    if (!HasMajority(it) || random_.Chance(0.1))
      return;
    if (const auto* take = std::get_if<TakeOrders>(&command.body))
      issuers_[it].OnTaken(book_.Take(*take), now_);
    if (const auto* issue = std::get_if<IssueOrder>(&command.body))
      issuers_[it].OnIssued(book_.Issue(*issue), now_);
    if (const auto* finish = std::get_if<FinishOrder>(&command.body))
      issuers_[it].OnFinished(book_.Finish(*finish));
  }

  void Do(std::size_t it, const SendOrder& command) {
    // The host may have stood still between the decision and the sending.
    if (now_ >= command.send_before)
      return;
    const auto record = book_.open().find(command.fencing);
    const std::uint64_t term = record == book_.open().end()
                                   ? TermOfEnded(command.fencing)
                                   : record->second.term;
    FakeServer& server = servers_[command.order.checks_fencing ? 1 : 0];
    // Fencing bounds also orders that are under way for longer than allowed.
    const Duration longest =
        server.checks_fencing ? 3 * kLongestOrder : kLongestOrder;
    server.under_way.push_back(
        {now_ + random_.Between({}, longest), term, command.fencing, it});
  }

  bool HasMajority(std::size_t it) const {
    return it == leader_ && now_ >= isolated_until_[it];
  }

  std::uint64_t TermOfEnded(std::uint64_t fencing) const {
    const auto it = book_.ended().find(fencing);
    return it == book_.ended().end() ? 0 : it->second.term;
  }

  RandomSource random_;
  TimePoint now_;
  OrderBook book_;
  OrderIssuer issuers_[2] = {OrderIssuer(HostId("c1"), Limits()),
                             OrderIssuer(HostId("c2"), Limits())};
  FakeServer servers_[2];
  TimePoint frozen_until_[2];
  TimePoint isolated_until_[2];
  TimePoint next_order_[2];
  std::size_t leader_ = 0;
  TimePoint lease_end_;
};

}  // namespace

TEST_GROUP(OrderIssuer){};

TEST(OrderIssuer, NoOldLeadersOrderTakesEffectAfterItsSuccessorsFirst) {
  std::uint64_t effects = 0;
  std::uint64_t terms = 0;
  const char* only = std::getenv("BRIARLEAD_FAULT_SEED");
  const std::uint64_t first = only ? std::strtoull(only, nullptr, 10) : 0;
  const std::uint64_t last = only ? first + 1 : kSeeds;
  for (std::uint64_t seed = first; seed < last; ++seed) {
    OrderRace race(seed);
    if (!race.Run()) {
      const std::string replay =
          "replay: BRIARLEAD_FAULT_SEED=" + std::to_string(seed) +
          " briarlead_state_tests -g OrderIssuer";
      FAIL(replay.c_str());
    }
    effects += race.effects;
    terms += race.terms;
  }
  if (only != nullptr)
    return;
  // Enough orders and leaders to prove something.
  CHECK_TRUE(effects > 20'000);
  CHECK_TRUE(terms > 3000);
}

TEST(OrderIssuer, FirstHolderNeedNotWait) {
  OrderBook book;
  OrderIssuer issuer(HostId("c1"), Limits());
  const TimePoint now;
  issuer.OnElected(1, now + kLease, now);
  issuer.OnTaken(book.Take({HostId("c1"), 1}), now);
  CHECK_TRUE(issuer.MaySend(false, now));
  CHECK_FALSE(issuer.MaySend(false, now + kLease));
}

TEST(OrderIssuer, SuccessorWaitsOnlyForServersThatIgnoreFencing) {
  OrderBook book;
  book.Take({HostId("c0"), 1});
  OrderIssuer issuer(HostId("c1"), Limits());
  const TimePoint now;
  issuer.OnElected(2, now + std::chrono::hours(1), now);
  issuer.OnTaken(book.Take({HostId("c1"), 2}), now);
  CHECK_TRUE(issuer.MaySend(true, now));
  CHECK_FALSE(issuer.MaySend(false, now + kLease + kLongestOrder));
  CHECK_TRUE(issuer.MaySend(
      false, now + kLease + kLongestOrder + std::chrono::seconds(1)));
}

TEST(OrderIssuer, OpenOrdersOfTheOldLeaderAreIssuedAnew) {
  OrderBook book;
  book.Take({HostId("c0"), 1});
  book.Issue({1, 1, OrderFor("s", true)});
  OrderIssuer issuer(HostId("c1"), Limits());
  const TimePoint now;
  issuer.OnElected(2, now + kLease, now);
  issuer.OnTaken(book.Take({HostId("c1"), 2}), now);
  const auto commands = issuer.TakeCommands();
  const auto& last = std::get<ProposeOrderCommand>(commands.back());
  CHECK_TRUE(book.Issue(std::get<IssueOrder>(last.body)).fencing == 2);
  CHECK_TRUE(book.ended().at(1).state == OrderState::kSuperseded);
  CHECK_TRUE(book.Issue({1, 2, OrderFor("s", true)}).verdict ==
             IssueVerdict::kNotHolder);
}

TEST(OrderIssuer, UnansweredOrderEnds) {
  OrderBook book;
  OrderIssuer issuer(HostId("c1"), Limits());
  const TimePoint now;
  issuer.OnElected(1, now + std::chrono::hours(1), now);
  issuer.OnTaken(book.Take({HostId("c1"), 1}), now);
  issuer.Request(OrderFor("s", false), now);
  issuer.OnIssued(book.Issue({1, 1, OrderFor("s", false)}), now);
  issuer.TakeCommands();
  issuer.Tick(now + kLongestOrder);
  const auto commands = issuer.TakeCommands();
  const auto& finish = std::get<FinishOrder>(
      std::get<ProposeOrderCommand>(commands.back()).body);
  CHECK_TRUE(finish.state == OrderState::kUnanswered);
  issuer.OnFinished(book.Finish(finish));
  LONGS_EQUAL(0, issuer.size());
}

}  // namespace briarlead
