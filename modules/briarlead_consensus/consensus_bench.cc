// Measures the replicated log: commits per second with real files, recovery
// time by log length, election time after a leader's crash (in virtual time),
// the processor time and traffic of an idle replica, and commit latency with
// one slow disk.
//
// Usage: briarlead_consensus_bench FOLDER
// FOLDER must be on the disk to be measured. The files are removed at the end.

#include <fmt/format.h>
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "briarlead_consensus/briarlead_consensus.h"
#include "briarlead_consensus/posix_file.h"
#include "briarlead_consensus/test_cluster.h"

namespace briarlead::consensus {

namespace {

namespace fs = std::filesystem;

constexpr std::size_t kPayloadBytes = 256;
constexpr std::size_t kReplicas = 3;

TimePoint SteadyNow() {
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(since));
}

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& it) {
    return static_cast<double>(it.tv_sec) +
           static_cast<double>(it.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

void ExitOnError(const char* what, const Error& error) {
  fmt::print(stderr, "{}: {}\n", what, error.message);
  std::exit(1);
}

FileStoreSettings StoreSettings(const fs::path& folder, std::size_t n) {
  FileStoreSettings settings;
  settings.folder = folder / ("replica" + std::to_string(n));
  settings.cluster = ClusterId("bench");
  settings.host = HostId("host" + std::to_string(n));
  return settings;
}

/// Replicas in one process. Messages are delivered at once; syncs are real and
/// run one after the other on a single thread.
class FileCluster {
 public:
  FileCluster(const fs::path& folder, std::size_t replicas) {
    Membership members;
    for (std::size_t it = 0; it < replicas; ++it)
      members.voters.push_back({HostId("host" + std::to_string(it)), it + 1});
    for (std::size_t it = 0; it < replicas; ++it) {
      auto store = std::make_unique<FileStore>(StoreSettings(folder, it));
      const Result<void> made = store->Create(it + 1, members);
      if (!made)
        ExitOnError("create", made.error());
      auto opened = store->Open();
      if (!opened)
        ExitOnError("open", opened.error());
      stores_.push_back(std::move(store));
      replicas_.push_back(std::make_unique<Replica>(
          ReplicaSettings{}, std::move(opened.value()), RandomSource(it + 1),
          SteadyNow()));
    }
  }

  /// Proposes `batch` entries at a time until `count` are committed. Returns
  /// the elapsed seconds.
  double Commit(std::size_t count, std::size_t batch) {
    Replica& leader = *replicas_[Leader()];
    const std::string payload(kPayloadBytes, 'x');
    const TimePoint start = SteadyNow();
    while (count > 0) {
      const std::size_t n = std::min(batch, count);
      for (std::size_t it = 0; it < n; ++it) {
        const auto proposed = leader.Propose(payload, SteadyNow());
        if (!proposed)
          ExitOnError("propose", proposed.error());
      }
      const LogIndex last = leader.last_index();
      while (leader.commit_index() < last)
        Step();
      count -= n;
    }
    return ToSeconds(SteadyNow() - start);
  }

 private:
  /// Runs until a leader holds its lease; returns the leader.
  std::size_t Leader() {
    while (true) {
      for (std::size_t it = 0; it < replicas_.size(); ++it) {
        if (replicas_[it]->HasLease(SteadyNow()))
          return it;
      }
      Step();
    }
  }

  /// Ticks every replica and delivers messages until there are none.
  void Step() {
    for (std::size_t it = 0; it < replicas_.size(); ++it) {
      replicas_[it]->Tick(SteadyNow());
      RunCommands(it);
    }
    while (!messages_.empty()) {
      const Message message = std::move(messages_.front());
      messages_.pop_front();
      for (std::size_t it = 0; it < replicas_.size(); ++it) {
        if (replicas_[it]->identity().replica != message.to)
          continue;
        replicas_[it]->OnMessage(message, SteadyNow());
        RunCommands(it);
      }
    }
  }

  void RunCommands(std::size_t n) {
    std::vector<Command> commands = replicas_[n]->TakeCommands();
    while (!commands.empty()) {
      for (Command& it : commands) {
        if (auto* send = std::get_if<SendMessage>(&it)) {
          auto decoded = DecodeMessage(EncodeMessage(send->message));
          messages_.push_back(std::move(decoded.value()));
        } else if (auto* persist = std::get_if<Persist>(&it)) {
          const Result<void> written = stores_[n]->Write(*persist);
          if (!written)
            ExitOnError("write", written.error());
          replicas_[n]->OnPersisted(persist->token, SteadyNow());
        }
      }
      commands = replicas_[n]->TakeCommands();
    }
  }

  std::vector<std::unique_ptr<FileStore>> stores_;
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::deque<Message> messages_;
};

/// Returns "median (minimum to maximum)" of `values`.
std::string MedianAndRange(std::vector<double> values, int digits) {
  std::sort(values.begin(), values.end());
  return fmt::format("{:.{}f} ({:.{}f} to {:.{}f})", values[values.size() / 2],
                     digits, values.front(), digits, values.back(), digits);
}

/// Returns the average seconds to append and sync a small record to a plain
/// file, for comparison with the commits.
double PlainSyncSeconds(const fs::path& folder, std::size_t rounds) {
  auto file = PosixFile::OpenForAppend((folder / "plain").string());
  if (!file)
    ExitOnError("open", file.error());
  const std::string record(kPayloadBytes, 'x');
  const TimePoint start = SteadyNow();
  for (std::size_t it = 0; it < rounds; ++it) {
    if (!file.value().Write(record) || !file.value().SyncData())
      std::exit(1);
  }
  return ToSeconds(SteadyNow() - start) / static_cast<double>(rounds);
}

void MeasureCommits(const fs::path& folder) {
  constexpr std::size_t rounds = 300;
  constexpr std::size_t repeats = 5;
  for (const std::size_t replicas : {std::size_t{1}, kReplicas}) {
    for (const std::size_t batch : {1, 10, 100}) {
      std::vector<double> rates;
      std::vector<double> syncs;
      for (std::size_t it = 0; it < repeats; ++it) {
        const fs::path run_folder = folder / "commits";
        fs::create_directory(run_folder);
        syncs.push_back(PlainSyncSeconds(run_folder, rounds) * 1e3);
        FileCluster cluster(run_folder, replicas);
        const double seconds = cluster.Commit(rounds * batch, batch);
        rates.push_back(static_cast<double>(rounds * batch) / seconds);
        fs::remove_all(run_folder);
      }
      fmt::print(
          "commits replicas={} batch={} runs={} commits_per_s={} "
          "plain_sync_ms={}\n",
          replicas, batch, repeats, MedianAndRange(rates, 0),
          MedianAndRange(syncs, 2));
    }
  }
}

void MeasureRecovery(const fs::path& folder) {
  constexpr std::size_t entries_per_batch = 100;
  const std::string payload(kPayloadBytes, 'x');
  for (const std::size_t entries : {10000, 50000, 100000, 200000}) {
    const fs::path run_folder = folder / "recovery";
    fs::create_directory(run_folder);
    {
      FileStore store(StoreSettings(run_folder, 0));
      if (!store.Create(1, {}) || !store.Open())
        std::exit(1);
      Persist persist;
      for (LogIndex it = 1; it <= entries; ++it) {
        persist.entries.push_back({it, 1, EntryKind::kCommand, payload, {}});
        if (persist.entries.size() < entries_per_batch)
          continue;
        if (!store.Write(persist))
          std::exit(1);
        persist.entries.clear();
      }
    }
    std::vector<double> times;
    for (int it = 0; it < 5; ++it) {
      const TimePoint start = SteadyNow();
      FileStore store(StoreSettings(run_folder, 0));
      auto opened = store.Open();
      if (!opened)
        ExitOnError("open", opened.error());
      const Replica replica({}, std::move(opened.value()), RandomSource(1),
                            start);
      times.push_back(ToSeconds(SteadyNow() - start) * 1e3);
    }
    fmt::print("recovery entries={} payload_bytes={} runs={} ms={}\n", entries,
               kPayloadBytes, times.size(), MedianAndRange(times, 1));
    fs::remove_all(run_folder);
  }
}

bool LeaseHeld(const TestCluster& cluster,
               std::vector<TestCluster::Node>& nodes) {
  const std::size_t leader = cluster.Leader();
  return leader < nodes.size() &&
         nodes[leader].replica->HasLease(cluster.LocalTime(nodes[leader]));
}

void MeasureElections() {
  constexpr std::uint64_t seeds = 1000;
  constexpr Duration limit = std::chrono::seconds(30);
  for (const std::size_t replicas : {3, 5}) {
    std::vector<double> times;
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
      TestCluster cluster(seed, replicas);
      const auto lease = [&] { return LeaseHeld(cluster, cluster.nodes()); };
      cluster.RunUntil(lease, limit);
      cluster.Run(cluster.random().Between(std::chrono::seconds(1),
                                           std::chrono::seconds(2)));
      cluster.Crash(cluster.Leader());
      const Duration crashed_at = cluster.now();
      if (cluster.RunUntil(lease, limit))
        times.push_back(ToSeconds(cluster.now() - crashed_at) * 1e3);
    }
    std::sort(times.begin(), times.end());
    const auto at = [&](double quantile) {
      return times[static_cast<std::size_t>(
          quantile * static_cast<double>(times.size() - 1))];
    };
    fmt::print(
        "election replicas={} seeds={} ms p0={:.0f} p50={:.0f} p90={:.0f} "
        "p99={:.0f} max={:.0f}\n",
        replicas, times.size(), at(0), at(0.5), at(0.9), at(0.99), at(1));
  }
}

void MeasureIdle() {
  constexpr double idle_seconds = 1000;
  for (const std::size_t replicas : {3, 5}) {
    TestCluster cluster(1, replicas);
    cluster.Run(std::chrono::seconds(5));
    cluster.count_bytes = true;
    const std::uint64_t bytes = cluster.bytes_sent();
    const double cpu_start = CpuSeconds();
    cluster.Run(FromSeconds(idle_seconds));
    const double replica_seconds = idle_seconds * static_cast<double>(replicas);
    fmt::print(
        "idle replicas={} processor_us_per_replica_s={:.1f} "
        "bytes_per_replica_s={:.0f}\n",
        replicas, (CpuSeconds() - cpu_start) * 1e6 / replica_seconds,
        static_cast<double>(cluster.bytes_sent() - bytes) / replica_seconds);
  }
}

/// Measures the commit latency with one slow disk, at the leader or a follower.
void MeasurePlacement() {
  constexpr int proposals = 500;
  constexpr Duration interval = std::chrono::milliseconds(5);
  for (const int slowness : {1, 10, 100}) {
    for (const bool slow_leader : {false, true}) {
      TestCluster cluster(1, 3);
      cluster.sync_min = Duration(100);
      cluster.sync_max = Duration(200);
      const auto lease = [&] { return LeaseHeld(cluster, cluster.nodes()); };
      cluster.RunUntil(lease, std::chrono::seconds(30));
      const std::size_t leader = cluster.Leader();
      const std::size_t slow = slow_leader ? leader : (leader + 1) % kReplicas;
      cluster.nodes()[slow].sync_slowness = slowness;
      const Replica& replica = *cluster.nodes()[leader].replica;
      Duration to_commit{};
      Duration to_apply{};
      for (int it = 0; it < proposals; ++it) {
        const Duration start = cluster.now();
        cluster.Propose(leader);
        const LogIndex index = replica.last_index();
        const auto until = [&](auto done) {
          cluster.RunUntil(done, std::chrono::seconds(1));
          return cluster.now() - start;
        };
        to_commit += until([&] { return replica.commit_index() >= index; });
        to_apply += until([&] { return replica.applied_index() >= index; });
        cluster.Run(interval);
      }
      fmt::print(
          "placement slow_disk={} factor={} commit_ms={:.2f} "
          "applied_ms={:.2f}\n",
          slow_leader ? "leader" : "follower", slowness,
          ToSeconds(to_commit) * 1e3 / proposals,
          ToSeconds(to_apply) * 1e3 / proposals);
    }
  }
}

}  // namespace

}  // namespace briarlead::consensus

int main(int argc, char** argv) {
  if (argc != 2) {
    fmt::print(stderr, "usage: briarlead_consensus_bench FOLDER\n");
    return 2;
  }
  namespace consensus = briarlead::consensus;
  const std::filesystem::path folder =
      std::filesystem::path(argv[1]) / "consensus_bench";
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  consensus::MeasureCommits(folder);
  consensus::MeasureRecovery(folder);
  consensus::MeasureElections();
  consensus::MeasureIdle();
  consensus::MeasurePlacement();
  std::filesystem::remove_all(folder);
  return 0;
}
