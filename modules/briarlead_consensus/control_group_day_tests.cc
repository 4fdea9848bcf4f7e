#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "briarlead_consensus/test_cluster.h"

#include <CppUTest/TestHarness.h>

namespace briarlead::consensus {

namespace {

/// Time after the return of all hosts, or the start of a successor, after which
/// the group bears the next loss.
constexpr Duration kSyncTime = std::chrono::seconds(4);
/// Time after the return of all hosts within which the group commits again.
constexpr Duration kRecoveryTime = std::chrono::seconds(12);
/// Time for which the settings of a new host may name no leader.
constexpr Duration kSeedLag = std::chrono::seconds(3);
/// Longest time for which a killed process is down.
constexpr Duration kKilledFor = std::chrono::seconds(1);
constexpr Duration kProposalInterval = std::chrono::milliseconds(200);
constexpr Duration kMembershipInterval = std::chrono::milliseconds(25);
constexpr std::size_t kSpareHosts = 10;
constexpr int kLossesPerDay = 9;
constexpr std::uint64_t kSeedsPerSize = 250;
constexpr std::uint64_t kDisturbedSeedsPerSize = 60;

/// Most disturbances without a lost disk that overlap one loss.
constexpr std::size_t kMaxDisturbances = 3;
constexpr Duration kLongestDisturbance = std::chrono::seconds(5);
/// Factor by which a slow disk delays each sync.
constexpr int kSlowDisk = 300;

enum class Loss { kReplaced, kDisk, kPower, kFrozen, kIsolated };

/// What may happen beside a loss, beyond what the group bears without a pause:
/// no disk is lost by it, so nothing acknowledged may be.
enum class Disturbance {
  kSplit,
  kFreeze,
  kIsolate,
  kDeaf,
  kPowerOfAll,
  kPowerOfSome,
  kSlowDisk
};
constexpr std::uint64_t kDisturbances = 7;

/// A group of control hosts that loses one host after the other, and beside it
/// the processes of all. At the end of the day every host loses power at once,
/// and one of them may lose its disk.
class GroupDay {
 public:
  GroupDay(std::uint64_t seed, std::size_t hosts, bool disturbed)
      : cluster_(seed, hosts + kSpareHosts, hosts),
        hosts_(hosts),
        disturbed_(disturbed) {
    cluster_.any_host = true;
    cluster_.settings.trailing_entries = 20;
    cluster_.settings.join_interval = std::chrono::milliseconds(300);
    cluster_.filter = [this](const Message& it) { return MayPass(it); };
    cluster_.Run(std::chrono::milliseconds(1));
    for (std::size_t it = hosts; it < hosts + kSpareHosts; ++it)
      cluster_.Crash(it);
    for (std::size_t it = 0; it < hosts; ++it)
      active_.push_back(it);
    Repeat(kProposalInterval, [this] { Propose(); });
    Repeat(kMembershipInterval,
           [this] { cluster_.ProposeMembershipChanges(); });
  }

  /// Plays the day; returns what went wrong, or an empty string.
  std::string Play() {
    if (!CommitsWithin(kRecoveryTime))
      return "no leader at the start";
    for (int it = 0; it < kLossesPerDay; ++it) {
      PlayLoss();
      if (!CommitsWithin(kRecoveryTime))
        return Failure(fmt::format("no commit after loss {}", it));
    }
    PlayEndOfDay();
    if (!CommitsWithin(kRecoveryTime))
      return Failure("no commit after the end of the day");
    return cluster_.violation();
  }

 private:
  void Repeat(Duration interval, const std::function<void()>& action) {
    cluster_.After(interval, [this, interval, action] {
      action();
      Repeat(interval, action);
    });
  }

  void Propose() {
    if (cluster_.Leader() < cluster_.nodes().size())
      cluster_.Propose(cluster_.Leader());
  }

  /// A new host finds the leader by itself only once its settings name it.
  bool MayPass(const Message& message) {
    if (!std::holds_alternative<JoinRequest>(message.body) ||
        message.to.incarnation != 0)
      return true;
    const auto lag = settings_lag_until_.find(message.from.host);
    const std::size_t leader = cluster_.Leader();
    return lag == settings_lag_until_.end() || cluster_.now() >= lag->second ||
           leader == cluster_.nodes().size() ||
           message.to.host != cluster_.nodes()[leader].host;
  }

  std::size_t Victim() {
    const std::size_t leader = cluster_.Leader();
    if (cluster_.random().Chance(0.5) && leader < cluster_.nodes().size())
      return leader;
    return active_[cluster_.random().Below(active_.size())];
  }

  void StartNewHost(std::size_t node) {
    settings_lag_until_[cluster_.nodes()[node].host] =
        cluster_.now() + kSeedLag;
    cluster_.Restart(node);
  }

  /// Lets one host be lost, and what may happen beside it, until the group
  /// bears the next loss.
  void PlayLoss() {
    RandomSource& random = cluster_.random();
    const auto loss = static_cast<Loss>(random.Below(5));
    const std::size_t victim = Victim();
    const Duration away =
        random.Between(std::chrono::milliseconds(100), std::chrono::seconds(6));
    played_ += fmt::format(" {:.1f}:{}of{}for{:.1f}", ToSeconds(cluster_.now()),
                           static_cast<int>(loss), victim, ToSeconds(away));
    Inflict(loss, victim, away);
    Duration busy = away;
    if (random.Chance(0.4)) {
      const Duration kill = random.Between(Duration(0), away + kSyncTime);
      cluster_.After(kill, [this, victim] { KillProcesses(victim); });
      busy = std::max(busy, kill + kKilledFor);
    }
    if (random.Chance(0.3)) {
      cluster_.After(random.Between(Duration(0), away + kSyncTime),
                     [this] { TransferLeadership(); });
    }
    if (disturbed_)
      busy = std::max(busy, ScheduleDisturbances(busy + kSyncTime, victim));
    cluster_.Run(busy + kSyncTime);
  }

  /// Lets disturbances begin within `window`; `lost` is left alone. Returns
  /// when the last one is over.
  Duration ScheduleDisturbances(Duration window, std::size_t lost) {
    RandomSource& random = cluster_.random();
    Duration last_end{};
    const std::size_t n = random.Below(kMaxDisturbances + 1);
    for (std::size_t i = 0; i < n; ++i) {
      const Duration at = random.Between(Duration(0), window);
      const Duration length =
          random.Between(std::chrono::milliseconds(100), kLongestDisturbance);
      cluster_.After(at, [this, length, lost] { Disturb(length, lost); });
      last_end = std::max(last_end, at + length);
    }
    return last_end;
  }

  void Disturb(Duration length, std::size_t lost) {
    RandomSource& random = cluster_.random();
    const auto kind = static_cast<Disturbance>(random.Below(kDisturbances));
    const std::size_t node = active_[random.Below(active_.size())];
    played_ += fmt::format(" {:.1f}:disturbance{}on{}for{:.1f}",
                           ToSeconds(cluster_.now()), static_cast<int>(kind),
                           node, ToSeconds(length));
    switch (kind) {
      case Disturbance::kSplit:
        Split();
        break;
      case Disturbance::kIsolate:
        cluster_.Isolate(node);
        break;
      case Disturbance::kDeaf:
        for (const std::size_t it : active_)
          cluster_.CutLink(it, node);
        break;
      case Disturbance::kFreeze:
        FreezeFor(node, length);
        return;
      case Disturbance::kPowerOfAll:
      case Disturbance::kPowerOfSome:
        CutPower(kind == Disturbance::kPowerOfAll ? 1 : 0.5, length, lost);
        return;
      case Disturbance::kSlowDisk:
        cluster_.nodes()[node].sync_slowness = kSlowDisk;
        cluster_.After(
            length, [this, node] { cluster_.nodes()[node].sync_slowness = 1; });
        return;
    }
    cluster_.After(length, [this] { cluster_.HealNetwork(); });
  }

  /// Cuts the group into two halves, drawn at random.
  void Split() {
    std::vector<std::size_t> shuffled = active_;
    for (std::size_t i = shuffled.size(); i > 1; --i)
      std::swap(shuffled[i - 1], shuffled[cluster_.random().Below(i)]);
    const std::size_t half = shuffled.size() / 2;
    for (std::size_t i = 0; i < half; ++i) {
      for (std::size_t j = half; j < shuffled.size(); ++j) {
        cluster_.CutLink(shuffled[i], shuffled[j]);
        cluster_.CutLink(shuffled[j], shuffled[i]);
      }
    }
  }

  void FreezeFor(std::size_t node, Duration length) {
    const TestCluster::Node& frozen = cluster_.nodes()[node];
    if (!frozen.replica || frozen.frozen)
      return;
    cluster_.Freeze(node);
    cluster_.After(length, [this, node, epoch = frozen.epoch] {
      const TestCluster::Node& it = cluster_.nodes()[node];
      if (it.epoch == epoch && it.frozen)
        cluster_.Thaw(node);
    });
  }

  void CutPower(double chance, Duration length, std::size_t lost) {
    RandomSource& random = cluster_.random();
    for (const std::size_t it : active_) {
      if (it == lost || !cluster_.nodes()[it].replica || !random.Chance(chance))
        continue;
      cluster_.Crash(it);
      cluster_.After(random.Between(length / 2, length), [this, it] {
        if (!cluster_.nodes()[it].replica)
          cluster_.Restart(it);
      });
    }
  }

  void Inflict(Loss loss, std::size_t node, Duration away) {
    std::size_t successor = node;
    if (loss == Loss::kFrozen) {
      cluster_.Freeze(node);
    } else if (loss == Loss::kIsolated) {
      cluster_.Isolate(node);
    } else {
      cluster_.Crash(node);
    }
    if (loss == Loss::kDisk)
      cluster_.LoseDisk(node);
    if (loss == Loss::kReplaced) {
      successor = hosts_ + next_spare_++;
      std::replace(active_.begin(), active_.end(), node, successor);
    }
    cluster_.After(away, [this, loss, node, successor] {
      if (loss == Loss::kFrozen)
        cluster_.Thaw(node);
      else if (loss == Loss::kIsolated)
        cluster_.HealNetwork();
      else if (loss == Loss::kPower)
        cluster_.Restart(node);
      else
        StartNewHost(successor);
    });
  }

  /// Kills the processes on all hosts but `lost`; they are back soon.
  void KillProcesses(std::size_t lost) {
    played_ += fmt::format(" {:.1f}:kill", ToSeconds(cluster_.now()));
    for (const std::size_t it : active_) {
      if (it == lost || !cluster_.nodes()[it].replica)
        continue;
      cluster_.Crash(it);
      cluster_.After(
          cluster_.random().Between(std::chrono::milliseconds(100), kKilledFor),
          [this, it] { cluster_.Restart(it); });
    }
  }

  void TransferLeadership() {
    const std::size_t leader = cluster_.Leader();
    if (leader == cluster_.nodes().size())
      return;
    const std::size_t target = active_[cluster_.random().Below(active_.size())];
    if (!cluster_.nodes()[target].replica)
      return;
    const ReplicaId id = cluster_.nodes()[target].replica->identity().replica;
    cluster_.CallReplica(leader, [&](Replica& replica, TimePoint now) {
      (void)replica.TransferLeadership(id, now);
    });
  }

  void PlayEndOfDay() {
    RandomSource& random = cluster_.random();
    const std::size_t wiped = Victim();
    for (const std::size_t it : active_)
      cluster_.Crash(it);
    const bool disk_lost = random.Chance(0.7);
    if (disk_lost)
      cluster_.LoseDisk(wiped);
    for (const std::size_t it : active_) {
      const Duration down = random.Between(std::chrono::milliseconds(500),
                                           std::chrono::milliseconds(2500));
      cluster_.After(down, [this, it, wiped, disk_lost] {
        if (disk_lost && it == wiped)
          StartNewHost(it);
        else
          cluster_.Restart(it);
      });
    }
    cluster_.Run(std::chrono::milliseconds(2500));
  }

  bool CommitsWithin(Duration limit) {
    const std::size_t before = cluster_.acknowledged();
    return cluster_.RunUntil([&] { return cluster_.acknowledged() > before; },
                             limit);
  }

  std::string Failure(const std::string& what) {
    if (!cluster_.violation().empty())
      return cluster_.violation();
    std::string voters;
    for (const std::size_t it : active_) {
      if (!cluster_.nodes()[it].replica)
        continue;
      voters += "; " + cluster_.nodes()[it].host.value() + " has voters";
      for (const auto& id : cluster_.nodes()[it].replica->members().voters)
        voters += " " + ToString(id);
    }
    return what + " at " + fmt::format("{:.1f}", ToSeconds(cluster_.now())) +
           voters + "; played" + played_;
  }

  TestCluster cluster_;
  std::size_t hosts_;
  bool disturbed_;
  std::vector<std::size_t> active_;
  std::size_t next_spare_ = 0;
  std::map<HostId, Duration> settings_lag_until_;
  std::string played_;
};

void PlayDays(std::size_t hosts, bool disturbed) {
  const std::uint64_t seeds =
      disturbed ? kDisturbedSeedsPerSize : kSeedsPerSize;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    GroupDay day(seed, hosts, disturbed);
    const std::string failure = day.Play();
    if (!failure.empty())
      FAIL(fmt::format("seed {}: {}", seed, failure).c_str());
  }
}

}  // namespace

TEST_GROUP(ControlGroupDay){};

TEST(ControlGroupDay, ThreeHostsBearEachLossUntilAllAreDown) {
  PlayDays(3, false);
}

TEST(ControlGroupDay, FourHostsBearEachLossUntilAllAreDown) {
  PlayDays(4, false);
}

TEST(ControlGroupDay, FiveHostsBearEachLossUntilAllAreDown) {
  PlayDays(5, false);
}

TEST(ControlGroupDay, ThreeHostsKeepWhatIsAcknowledgedWhenLossesOverlap) {
  PlayDays(3, true);
}

TEST(ControlGroupDay, FourHostsKeepWhatIsAcknowledgedWhenLossesOverlap) {
  PlayDays(4, true);
}

TEST(ControlGroupDay, FiveHostsKeepWhatIsAcknowledgedWhenLossesOverlap) {
  PlayDays(5, true);
}

}  // namespace briarlead::consensus
