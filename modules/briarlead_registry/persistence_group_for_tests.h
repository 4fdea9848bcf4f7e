#ifndef BRIARLEAD_REGISTRY_PERSISTENCE_GROUP_FOR_TESTS_H_
#define BRIARLEAD_REGISTRY_PERSISTENCE_GROUP_FOR_TESTS_H_

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <bit>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "briarlead_registry/directory_persistence.h"

namespace briarlead {

/// Control hosts in virtual time with servers that leave and start again.
/// Processes are killed between any two steps, disks are lost and fail, and
/// messages are late or lost. After each step it looks at the disks: whichever
/// are lost, the others must have each leaving that was confirmed.
class PersistenceGroup {
 public:
  /// `lost` disks may be lost at once.
  PersistenceGroup(std::size_t hosts, std::size_t lost, std::uint64_t seed)
      : lost_(lost), seed_(seed), random_(seed), hosts_(hosts) {
    std::set<HostId> voters;
    for (std::size_t i = 0; i < hosts; ++i)
      voters.insert(IdOf(i));
    quorum_ = DiskQuorum::MajorityOf(voters, 2 * lost + 1);
    for (std::size_t i = 0; i < kServers; ++i) {
      Server& it = servers_[i];
      it.record.id = BackendServerId(fmt::format("server-{}", i));
      it.record.service = ServiceId("desk");
      it.next_heartbeat = now_ + Between(0, 1200);
      it.leaves = now_ + Between(500, 4000);
      Begin(it);
    }
    for (std::size_t i = 0; i < hosts; ++i)
      Start(i);
  }

  /// Confirms a leaving as soon as one disk has it.
  void ConfirmOnOneDisk() { quorum_.needed = 1; }

  void Run(Duration duration) {
    const TimePoint end = now_ + duration;
    while (now_ < end && violation_.empty())
      Step();
  }

  /// Returns what was found to be broken, with the seed; empty if nothing was.
  [[nodiscard]] const std::string& violation() const { return violation_; }
  [[nodiscard]] std::size_t confirmed() const { return confirmed_count_; }

 private:
  static constexpr std::size_t kServers = 6;
  static constexpr Duration kStep = std::chrono::milliseconds(5);
  static constexpr Duration kTick = std::chrono::milliseconds(25);
  static constexpr Duration kExchange = std::chrono::milliseconds(400);
  static constexpr Duration kHeartbeat = std::chrono::milliseconds(1200);
  static constexpr Duration kAnswerTimeout = std::chrono::seconds(1);
  /// Time from its start with an empty disk until a host counts as sound again
  /// (required by the users).
  static constexpr Duration kSyncTime = std::chrono::seconds(4);

  struct Process {
    explicit Process(HostId self) : persistence(directory, std::move(self)) {}
    ServerDirectory directory;
    DirectoryPersistence persistence;
    bool saving = false;  ///< A save has begun and has no outcome yet.
  };
  struct Host {
    std::unique_ptr<Process> process;  ///< Null while it is down.
    std::vector<ServerRecord> disk;
    bool disk_is_full = false;
    TimePoint starts;  ///< When it is started again.
    /// Its disk was lost: time with all hosts up until it counts as sound.
    Duration repair = Duration::zero();
  };
  struct Server {
    ServerRecord record;
    TimePoint next_heartbeat;
    TimePoint leaves;
    TimePoint returns;
    bool drains_first = false;
    std::optional<std::uint64_t> call;  ///< Number of the call under way.
    TimePoint call_ends;
    bool confirmed = false;
  };
  using Body = std::variant<std::vector<ServerRecord>,
                            PersistLeavingRequest,
                            PersistLeavingReply>;
  struct Message {
    std::size_t from = 0;
    std::size_t to = 0;
    TimePoint arrives;
    Body body;
  };

  static HostId IdOf(std::size_t host) {
    return HostId(fmt::format("10.0.0.{}", host + 1));
  }
  static Endpoint EndpointOf(std::size_t host) {
    return {IdOf(host).value(), 7000};
  }
  std::uint64_t Draw(std::uint64_t n) { return random_() % n; }
  Duration Between(std::uint64_t from_ms, std::uint64_t to_ms) {
    return std::chrono::milliseconds(from_ms + Draw(to_ms - from_ms + 1));
  }

  void Step() {
    now_ += kStep;
    for (std::size_t i = 0; i < hosts_.size(); ++i)
      StepHost(i);
    for (Server& it : servers_)
      StepServer(it);
    Deliver();
    if (Draw(60) == 0)
      Disturb();
    Repair();
    if (std::exchange(changed_, false))
      CheckDisks();
  }

  void StepHost(std::size_t i) {
    Host& host = hosts_[i];
    if (!host.process) {
      if (now_ >= host.starts)
        Start(i);
      return;
    }
    // A process that is killed before this step has only begun to save.
    if (std::exchange(host.process->saving, false)) {
      const bool saved = !host.disk_is_full;
      if (saved)
        SaveTo(host);
      host.process->persistence.OnSaved(
          saved, host.process->directory.revision(), now_);
      RunPersistence(i);
    } else if (now_.time_since_epoch() % kTick < kStep) {
      RunPersistence(i);
    }
    if (now_.time_since_epoch() % kExchange < kStep)
      SendToOthers(i, host.process->directory.Records());
  }

  void SaveTo(Host& host) {
    host.disk = host.process->directory.Records();
    changed_ = true;
  }

  void RunPersistence(std::size_t i) {
    Process& process = *hosts_[i].process;
    process.persistence.SetQuorum(quorum_);
    process.persistence.Tick(now_);
    for (PersistenceCommand& command : process.persistence.TakeCommands()) {
      if (std::holds_alternative<SaveDirectory>(command))
        process.saving = true;
      else if (auto* request = std::get_if<SendPersistRequest>(&command))
        SendTo(i, request->host, std::move(request->request));
      else if (auto* reply = std::get_if<SendPersistReply>(&command))
        SendTo(i, HostId(reply->peer.address), std::move(reply->reply));
      else if (const auto* answer = std::get_if<AnswerLeaving>(&command))
        OnAnswer(*answer);
    }
  }

  void SendTo(std::size_t from, const HostId& to, Body body) {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (IdOf(i) != to || Draw(50) == 0)
        continue;
      const Duration delay = Draw(20) == 0 ? Between(100, 1500) : Between(1, 9);
      messages_.push_back({from, i, now_ + delay, std::move(body)});
      return;
    }
  }
  void SendToOthers(std::size_t from,
                    const std::vector<ServerRecord>& servers) {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (i != from)
        SendTo(from, IdOf(i), servers);
    }
  }

  void Deliver() {
    std::vector<Message> due;
    std::erase_if(messages_, [&](Message& it) {
      if (it.arrives > now_)
        return false;
      due.push_back(std::move(it));
      return true;
    });
    for (const Message& it : due) {
      if (hosts_[it.to].process)
        OnMessage(it);
    }
  }

  void OnMessage(const Message& message) {
    Process& process = *hosts_[message.to].process;
    if (const auto* servers =
            std::get_if<std::vector<ServerRecord>>(&message.body)) {
      for (const ServerRecord& it : *servers)
        process.directory.Merge(it, now_);
      return;
    }
    if (const auto* request =
            std::get_if<PersistLeavingRequest>(&message.body)) {
      process.persistence.OnRequest(EndpointOf(message.from), *request, now_);
    } else if (const auto* reply =
                   std::get_if<PersistLeavingReply>(&message.body)) {
      process.persistence.OnReply(IdOf(message.from), *reply);
    }
    RunPersistence(message.to);
  }

  /// Starts the server, again or for the first time.
  void Begin(Server& server) {
    server.record.born_ms = ++last_born_;
    server.record.sequence = 0;
    server.record.state = ServerState::kReady;
    server.record.address = {fmt::format("10.1.0.{}", Draw(100)), 80};
    server.drains_first = Draw(2) == 0;
    server.confirmed = false;
    server.leaves = now_ + Between(0, 2500);
    server.returns = TimePoint::max();
  }

  void StepServer(Server& server) {
    if (now_ >= server.returns) {
      Begin(server);
      return;
    }
    if (server.confirmed)
      return;
    if (now_ >= server.leaves) {
      if (!server.call.has_value() || now_ >= server.call_ends)
        CallLeaving(server);
    } else if (now_ >= server.next_heartbeat) {
      server.next_heartbeat = now_ + kHeartbeat;
      ++server.record.sequence;
      const std::size_t to = Draw(hosts_.size());
      if (hosts_[to].process &&
          hosts_[to].process->directory.Merge(server.record, now_)) {
        SendToOthers(to, {server.record});
      }
    }
  }

  void CallLeaving(Server& server) {
    server.call = ++last_call_;
    server.call_ends = now_ + kAnswerTimeout;
    const std::size_t to = Draw(hosts_.size());
    if (!hosts_[to].process)
      return;
    Process& process = *hosts_[to].process;
    if (server.drains_first) {
      server.record.state = ServerState::kLeaving;
      ++server.record.sequence;
      process.directory.Merge(server.record, now_);
    } else {
      server.record.state = ServerState::kGone;
      process.directory.MarkGone(server.record.id, server.record.born_ms, now_);
    }
    SendToOthers(to, {process.directory.Find(server.record.id)->record});
    process.persistence.ConfirmLeaving({1, last_call_}, server.record.id, now_);
    RunPersistence(to);
  }

  void OnAnswer(const AnswerLeaving& answer) {
    for (Server& it : servers_) {
      if (it.call != answer.call.request)
        continue;
      it.call.reset();
      if (!answer.confirmed)
        continue;
      it.confirmed = true;
      it.returns = now_ + Between(300, 5000);
      confirmed_[it.record.id] = it.record;
      ++confirmed_count_;
      changed_ = true;
    }
  }

  [[nodiscard]] static bool IsSound(const Host& host) {
    return host.repair <= Duration::zero();
  }
  /// Returns how many more disks may be lost now.
  [[nodiscard]] std::size_t LossesLeft() const {
    const auto sound =
        static_cast<std::size_t>(std::ranges::count_if(hosts_, IsSound));
    return lost_ + sound > hosts_.size() ? lost_ + sound - hosts_.size() : 0;
  }

  /// A host without its disk is repaired while all hosts are up.
  void Repair() {
    const bool all_up = std::ranges::all_of(
        hosts_, [](const Host& it) { return it.process != nullptr; });
    for (Host& it : hosts_) {
      if (IsSound(it) || !all_up || it.disk_is_full)
        continue;
      it.repair -= kStep;
      changed_ = changed_ || IsSound(it);
    }
  }

  void Disturb() {
    const std::size_t i = Draw(hosts_.size());
    const std::uint64_t kind = Draw(10);
    if (kind == 0) {
      for (std::size_t k = 0; k < hosts_.size(); ++k)
        Kill(k);
    } else if (kind <= 2 && LossesLeft() > 0 && IsSound(hosts_[i])) {
      Kill(i);
      hosts_[i].disk.clear();
      hosts_[i].repair = kSyncTime;
    } else if (kind <= 4) {
      hosts_[i].disk_is_full = !hosts_[i].disk_is_full;
    } else if (kind <= 7) {
      Kill(i);
    }
  }

  void Kill(std::size_t i) {
    Host& host = hosts_[i];
    if (!host.process)
      return;
    // A save that has begun reaches the disk or not.
    if (host.process->saving && !host.disk_is_full && Draw(2) == 0)
      SaveTo(host);
    host.process.reset();
    host.starts = now_ + Between(100, 3000);
    if (!IsSound(host))
      host.repair = kSyncTime;
  }

  void Start(std::size_t i) {
    Host& host = hosts_[i];
    host.process = std::make_unique<Process>(IdOf(i));
    for (const ServerRecord& it : host.disk)
      host.process->directory.Merge(it, now_);
    host.process->persistence.OnLoaded();
  }

  /// Looks at every choice of disks that may be lost, with all processes.
  void CheckDisks() {
    std::uint32_t unsound = 0;
    for (std::size_t i = 0; i < hosts_.size(); ++i)
      unsound |= IsSound(hosts_[i]) ? 0 : 1U << i;
    const auto lost_in_all =
        static_cast<std::size_t>(std::popcount(unsound)) + LossesLeft();
    for (std::uint32_t lost = 0; lost < 1U << hosts_.size(); ++lost) {
      if ((lost & unsound) == unsound &&
          static_cast<std::size_t>(std::popcount(lost)) == lost_in_all) {
        CheckWithout(lost);
      }
    }
  }

  /// Checks what a new start finds without the disks in the set `lost`.
  void CheckWithout(std::uint32_t lost) {
    for (const auto& it : confirmed_) {
      const ServerRecord& server = it.second;
      bool is_known = false;
      for (std::size_t i = 0; i < hosts_.size(); ++i) {
        const bool is_lost = (lost >> i & 1U) != 0;
        is_known = is_known || (!is_lost && HasLeaving(hosts_[i].disk, server));
      }
      if (is_known)
        continue;
      violation_ = fmt::format(
          "seed {}: {} of start {} was confirmed as {} and is ready again "
          "without the disks {:#x}",
          seed_, server.id.value(), server.born_ms, ToString(server.state),
          lost);
    }
  }

  /// Returns whether a start from `disk` never makes `server` ready again.
  static bool HasLeaving(const std::vector<ServerRecord>& disk,
                         const ServerRecord& server) {
    return std::ranges::any_of(disk, [&](const ServerRecord& it) {
      if (it.id != server.id)
        return false;
      return it.born_ms > server.born_ms ||
             (it.born_ms == server.born_ms && it.state >= server.state);
    });
  }

  TimePoint now_{std::chrono::seconds(1000)};
  std::size_t lost_;
  std::uint64_t seed_;
  std::mt19937_64 random_;
  DiskQuorum quorum_;
  std::vector<Host> hosts_;
  std::array<Server, kServers> servers_;
  std::vector<Message> messages_;
  std::uint64_t last_born_ = 0;
  std::uint64_t last_call_ = 0;
  std::map<BackendServerId, ServerRecord> confirmed_;
  std::size_t confirmed_count_ = 0;
  bool changed_ = false;  ///< A disk, or what was confirmed.
  std::string violation_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_REGISTRY_PERSISTENCE_GROUP_FOR_TESTS_H_
