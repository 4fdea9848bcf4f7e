#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "briarlead_accounts/briarlead_accounts.h"
#include "briarlead_consensus/test_cluster.h"
#include "briarlead_forward/send_gate.h"

// After everything that uses the global operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {

namespace {

using consensus::Replica;
using consensus::TestCluster;

constexpr std::uint64_t kSeeds = 1000;
/// Seeds within which a model without the lease check must fail.
constexpr std::uint64_t kSeedsWithoutLease = 20;
constexpr std::uint64_t kSeedsOfAnyMajority = 100;
constexpr std::size_t kControlHosts = 3;
constexpr std::size_t kEntryHosts = 4;
constexpr Duration kRevocation = std::chrono::seconds(5);
constexpr Duration kRun = std::chrono::seconds(25);
constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr Duration kRequestGap = std::chrono::milliseconds(150);
constexpr Duration kChangeGap = std::chrono::milliseconds(900);
constexpr Duration kFaultGap = std::chrono::milliseconds(700);
/// Interval at which acknowledgements are noted.
constexpr Duration kNoteInterval = std::chrono::milliseconds(2);
constexpr std::uint64_t kUsedKeys = 8;
/// Time within which an acknowledged list is in force at every host that hears
/// the control group (required by the users).
constexpr Duration kInForceTime = std::chrono::seconds(2);
/// Time for which a control host that answered counts as heard, where a refusal
/// rests on that.
constexpr Duration kControlSilence = std::chrono::milliseconds(1300);
constexpr std::size_t kManyEntryHosts = 84;
constexpr std::uint64_t kSeedsOfManyHosts = 10;

/// What the decisions of an entry host rest on.
enum class Rests {
  kOnTheLeader,    ///< As in the product.
  kNoLease,        ///< Keys are used without a lease.
  kOnAnyMajority,  ///< Keys are denied once most control hosts are heard.
};

KeyDigest KeyOf(std::uint64_t version) {
  return DigestOfKey(std::to_string(version));
}

const CustomerId& Account() {
  static const CustomerId kId("a");
  return kId;
}

/// Returns the list `version`: it has the keys `version` and `version` - 1.
std::shared_ptr<const RouteTable> TableOf(std::uint64_t version) {
  RouteList list;
  list.version = version;
  ClientAccount account;
  account.id = Account();
  account.keys = {KeyOf(version), KeyOf(version - 1)};
  list.accounts = {{account}};
  return std::make_shared<const RouteTable>(std::move(list));
}

/// What happened over all seeds: shows that the model was exercised.
struct Totals {
  std::size_t passed = 0;
  std::size_t lease_ended = 0;
  std::size_t key_unknown = 0;
  std::size_t denied = 0;   ///< Of these, without a hint that a list is newer.
  std::size_t revoked = 0;  ///< Keys whose removal was acknowledged.
};

/// Entry hosts that hold key leases before a control group of real replicas. An
/// applied entry of the log is a new list; its first application anywhere is
/// the earliest time at which a control host may acknowledge it.
class Model {
 public:
  explicit Model(std::uint64_t seed,
                 Rests rests = Rests::kOnTheLeader,
                 std::size_t entry_hosts = kEntryHosts)
      : rests_(rests), cluster_(seed, kControlHosts), hosts_(entry_hosts) {
    cluster_.faults.loss = 0.05 * Random().Unit();
    cluster_.faults.duplication = 0.05 * Random().Unit();
    for (std::size_t it = 0; it < entry_hosts; ++it) {
      Start(it);
      Repeat(kTick, [this, it] { Renew(it); });
      Repeat(4 * kTick, [this, it] { FetchList(it); });
      Repeat(kRequestGap, [this, it] { SendRequest(it); });
    }
    Repeat(kChangeGap, [this] { ReplaceList(); });
    Repeat(kFaultGap, [this] { InjectFault(); });
    NoteAcknowledgements();
  }

  /// Returns the first violation; empty if there was none.
  std::string Run() {
    cluster_.Run(kRun);
    totals.revoked += acknowledged_at_.size();
    return cluster_.violation().empty() ? violation_ : cluster_.violation();
  }

  Totals totals;

 private:
  struct Host {
    std::unique_ptr<KeyLease> lease;
    SendGate gate;
    std::uint64_t version = 0;
    bool frozen = false;
    bool cut = false;
    std::uint64_t starts = 0;
    /// When each control host was heard last.
    std::array<TimePoint, kControlHosts> heard{};
    /// What waits in the sockets of a frozen host.
    std::vector<std::function<void()>> waiting;
  };

  RandomSource& Random() { return cluster_.random(); }
  [[nodiscard]] TimePoint Now() const { return TimePoint(cluster_.now()); }

  void Repeat(Duration interval, const std::function<void()>& action) {
    cluster_.After(Random().Between(interval / 2, interval * 3 / 2),
                   [this, interval, action] {
                     action();
                     Repeat(interval, action);
                   });
  }

  /// Some messages come very late, or twice.
  void Transmit(std::function<void()> receive) {
    if (Random().Chance(0.1))
      return;
    const Duration most = Random().Chance(0.05)
                              ? Duration(std::chrono::seconds(7))
                              : Duration(std::chrono::milliseconds(20));
    const Duration least = std::chrono::milliseconds(1);
    if (Random().Chance(0.1))
      cluster_.After(Random().Between(least, most), receive);
    cluster_.After(Random().Between(least, most), std::move(receive));
  }

  void Start(std::size_t host) {
    Host& it = hosts_[host];
    ++it.starts;
    it.waiting.clear();
    it.frozen = false;
    it.version = 0;
    it.lease = std::make_unique<KeyLease>(
        kRevocation, Random().Below(std::uint64_t{1} << 62));
    it.heard = {};
    const bool needs_lease = rests_ == Rests::kOnTheLeader;
    it.gate = SendGate(needs_lease ? it.lease.get() : nullptr);
  }

  /// Runs `input` at the entry host, or once it thaws.
  void AtHost(std::size_t host, std::function<void()> input) {
    if (hosts_[host].frozen)
      hosts_[host].waiting.push_back(std::move(input));
    else
      input();
  }

  /// Runs `input` at the control host, or once it thaws.
  void AtControlHost(std::size_t n, std::function<void()> input) {
    TestCluster::Node& node = cluster_.nodes()[n];
    if (node.replica && node.frozen)
      node.deferred_input.push_back(std::move(input));
    else if (node.replica)
      input();
  }

  void Renew(std::size_t host) {
    Host& it = hosts_[host];
    if (it.frozen || it.version == 0)
      return;
    std::vector<Endpoint> control_hosts;
    for (std::size_t n = 0; n < kControlHosts; ++n)
      control_hosts.push_back({"c", static_cast<std::uint16_t>(n)});
    const auto question = it.lease->Ask(it.version, control_hosts, Now());
    if (!question.has_value() || it.cut)
      return;
    for (const Endpoint& receiver : question->receivers) {
      Transmit([this, host, n = receiver.port, number = question->number] {
        AtControlHost(n, [this, host, n, number] { Grant(host, n, number); });
      });
    }
  }

  void Grant(std::size_t host, std::uint16_t n, std::uint64_t number) {
    const TestCluster::Node& node = cluster_.nodes()[n];
    const Replica& replica = *node.replica;
    const TimePoint now = cluster_.LocalTime(node);
    if (!MayGrantKeyLease({replica.role() == consensus::Role::kLeader,
                           replica.HasLease(now),
                           replica.HasAppliedOwnTerm()})) {
      return;
    }
    if (node.applied < cluster_.history_size())
      violation_ = "a control host granted a lease for an old list";
    Transmit([this, host, n, number, version = node.applied] {
      if (hosts_[host].cut)
        return;
      AtHost(host, [this, host, n, number, version] {
        Host& it = hosts_[host];
        it.lease->OnAnswer({"c", n}, number, version, it.version);
      });
    });
  }

  void FetchList(std::size_t host) {
    const std::size_t n = Random().Below(kControlHosts);
    if (hosts_[host].cut || !cluster_.nodes()[n].replica)
      return;
    Transmit([this, host, n, version = cluster_.nodes()[n].applied] {
      if (hosts_[host].cut)
        return;
      AtHost(host, [this, host, n, version] {
        Host& it = hosts_[host];
        it.heard[n] = Now();
        if (version <= it.version)
          return;
        it.version = version;
        it.gate.SetTable(TableOf(version));
        it.lease->AskSoon();
      });
    });
  }

  void SendRequest(std::size_t host) {
    const std::uint64_t newest = acknowledged_at_.size();
    const std::uint64_t back = Random().Below(kUsedKeys);
    if (newest <= back)
      return;
    const TimePoint sent_at = Now();
    const std::uint64_t key = newest - back;
    cluster_.After(std::chrono::milliseconds(3), [this, host, key, sent_at] {
      AtHost(host, [this, host, key, sent_at] { Decide(host, key, sent_at); });
    });
  }

  void Decide(std::size_t host, std::uint64_t key, TimePoint sent_at) {
    if (hosts_[host].version == 0)
      return;
    switch (hosts_[host].gate.Check(Account(), KeyOf(key), Now())) {
      case SendVerdict::kMaySend:
        break;
      case SendVerdict::kLeaseEnded:
        ++totals.lease_ended;
        return;
      case SendVerdict::kKeyUnknown:
        ++totals.key_unknown;
        Deny(hosts_[host], key, sent_at);
        return;
    }
    ++totals.passed;
    if (rests_ == Rests::kOnAnyMajority)
      return;
    // The list `key` + 2 is the first without the key.
    const std::uint64_t removal = key + 2;
    if (removal <= acknowledged_at_.size() &&
        sent_at > acknowledged_at_[removal - 1] + kRevocation) {
      violation_ = fmt::format(
          "host {} passed a request on with key {}, sent {} ms after the "
          "acknowledgement",
          host, key, (sent_at - acknowledged_at_[removal - 1]).count() / 1000);
    }
  }

  /// Denies `key`, if the host is sure that the newest list lacks it.
  void Deny(const Host& host, std::uint64_t key, TimePoint sent_at) {
    const bool is_sure = rests_ == Rests::kOnAnyMajority
                             ? HearsMajority(host)
                             : host.lease->IsRecent(Now());
    if (!is_sure)
      return;
    ++totals.denied;
    if (host.version < key &&
        sent_at > acknowledged_at_[key - 1] + kInForceTime) {
      violation_ = fmt::format(
          "key {} was denied by list {}, {} ms after its acknowledgement", key,
          host.version, (sent_at - acknowledged_at_[key - 1]).count() / 1000);
    }
  }

  [[nodiscard]] bool HearsMajority(const Host& host) const {
    const auto heard = std::ranges::count_if(host.heard, [this](TimePoint it) {
      return Now() - it < kControlSilence;
    });
    return 2 * static_cast<std::size_t>(heard) > kControlHosts;
  }

  void ReplaceList() {
    const std::size_t leader = cluster_.Leader();
    if (leader < kControlHosts)
      cluster_.Propose(leader);
  }

  void NoteAcknowledgements() {
    while (acknowledged_at_.size() < cluster_.history_size())
      acknowledged_at_.push_back(Now());
    cluster_.After(kNoteInterval, [this] { NoteAcknowledgements(); });
  }

  void InjectFault() {
    const std::size_t host = Random().Below(hosts_.size());
    const std::size_t n = Random().Below(kControlHosts);
    const Duration lasts = Random().Between(std::chrono::milliseconds(100),
                                            std::chrono::seconds(9));
    switch (Random().Below(8)) {
      case 0:
        Freeze(host, lasts);
        break;
      case 1:
        Start(host);
        break;
      case 2:
        hosts_[host].cut = true;
        cluster_.After(lasts, [this, host] { hosts_[host].cut = false; });
        break;
      case 3:
        FreezeControlHost(n, lasts);
        break;
      case 4:
        if (!cluster_.nodes()[n].replica)
          break;
        cluster_.Crash(n, Random().Chance(0.5));
        cluster_.After(lasts / 8, [this, n] {
          if (!cluster_.nodes()[n].replica)
            cluster_.Restart(n);
        });
        break;
      case 5:
        cluster_.Isolate(n);
        break;
      default:
        cluster_.HealNetwork();
        break;
    }
  }

  void Freeze(std::size_t host, Duration lasts) {
    Host& it = hosts_[host];
    if (it.frozen)
      return;
    it.frozen = true;
    cluster_.After(lasts, [this, host, start = it.starts] {
      Host& frozen = hosts_[host];
      if (frozen.starts != start)
        return;
      frozen.frozen = false;
      for (const auto& input : std::exchange(frozen.waiting, {}))
        input();
    });
  }

  void FreezeControlHost(std::size_t n, Duration lasts) {
    const TestCluster::Node& node = cluster_.nodes()[n];
    if (!node.replica || node.frozen)
      return;
    cluster_.Freeze(n);
    cluster_.After(lasts, [this, n, epoch = node.epoch] {
      const TestCluster::Node& frozen = cluster_.nodes()[n];
      if (frozen.epoch == epoch && frozen.frozen)
        cluster_.Thaw(n);
    });
  }

  Rests rests_;
  TestCluster cluster_;
  std::vector<Host> hosts_;
  /// When the list `i` + 1 was first applied anywhere.
  std::vector<TimePoint> acknowledged_at_;
  std::string violation_;
};

}  // namespace

TEST_GROUP(Revocation){};

// A request with a revoked key must not be passed on by a host that was frozen,
// cut off or restarted, nor after an answer of a deposed or new leader.
TEST(Revocation, NoKeyIsUsedAfterItsTimeOverSeeds) {
  Totals totals;
  std::uint64_t first = 0;
  std::uint64_t end = kSeeds;
  if (const char* seed = std::getenv("BRIARLEAD_SEED")) {
    first = std::strtoull(seed, nullptr, 10);
    end = first + 1;
  }
  for (std::uint64_t seed = first; seed < end; ++seed) {
    Model model(seed);
    const std::string violation = model.Run();
    if (!violation.empty()) {
      FAIL(fmt::format("seed {}: {}\nreplay: BRIARLEAD_SEED={} "
                       "build/release/bin/briarlead_registry_tests "
                       "-sg Revocation",
                       seed, violation, seed)
               .c_str());
    }
    totals.passed += model.totals.passed;
    totals.lease_ended += model.totals.lease_ended;
    totals.key_unknown += model.totals.key_unknown;
    totals.denied += model.totals.denied;
    totals.revoked += model.totals.revoked;
  }
  UT_PRINT(fmt::format("{} seeds: {} requests passed on, {} refused without "
                       "lease, {} with an unknown key, {} of them denied, {} "
                       "keys revoked",
                       end - first, totals.passed, totals.lease_ended,
                       totals.key_unknown, totals.denied, totals.revoked)
               .c_str());
  CHECK(totals.passed > 0 && totals.lease_ended > 0 && totals.denied > 0);
}

TEST(Revocation, NoKeyIsUsedOrDeniedByAnOldListInALargeFleet) {
  for (std::uint64_t seed = 0; seed < kSeedsOfManyHosts; ++seed) {
    Model model(seed, Rests::kOnTheLeader, kManyEntryHosts);
    STRCMP_EQUAL("", model.Run().c_str());
    CHECK(model.totals.passed > 0 && model.totals.denied > 0);
  }
}

// Shows that the model finds hosts that deny keys by an old list.
TEST(Revocation, KeysOfANewerListAreDeniedByHostsThatHearAnyMajority) {
  std::size_t violations = 0;
  for (std::uint64_t seed = 0; seed < kSeedsOfAnyMajority; ++seed)
    violations += Model(seed, Rests::kOnAnyMajority).Run().empty() ? 0 : 1;
  CHECK(violations > 0);
}

// Shows that the model finds hosts that use revoked keys.
TEST(Revocation, WithoutTheLeaseRevokedKeysAreUsed) {
  std::size_t violations = 0;
  for (std::uint64_t seed = 0; seed < kSeedsWithoutLease; ++seed)
    violations += Model(seed, Rests::kNoLease).Run().empty() ? 0 : 1;
  CHECK(violations > 0);
}

}  // namespace briarlead
