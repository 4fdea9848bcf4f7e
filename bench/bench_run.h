#ifndef BENCH_BENCH_RUN_H_
#define BENCH_BENCH_RUN_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "bench/event_loop.h"
#include "bench/fake_decode_engine.h"
#include "bench/fake_prefill_engine.h"
#include "bench/measures.h"
#include "bench/policies.h"
#include "bench/scenario.h"
#include "bench/upper_bound.h"
#include "bench/workload.h"
#include "briarlead_blackboard/blackboard.h"
#include "briarlead_core/random_source.h"

namespace briarlead::bench {

/// Runs one scenario in virtual time: the real placers against fake engines
/// and links, with entry hosts reduced to what they pass on.
template <PlacementPolicy Policy>
class BenchRun {
 public:
  BenchRun(Policy policy,
           const Deployment& deployment,
           const Scenario& scenario,
           std::uint64_t seed)
      : policy_(std::move(policy)),
        deployment_(deployment),
        scenario_(scenario),
        random_(seed + kRunSeedOffset),
        arrivals_(MakeArrivals(deployment,
                               scenario.load,
                               scenario.flood,
                               scenario.arrivals_end,
                               seed)),
        outcomes_(arrivals_.size()),
        live_(arrivals_.size()) {}

  /// Runs the scenario and returns its figures.
  Measures Run() {
    MakeShards();
    for (std::size_t i = 0; i < arrivals_.size(); ++i)
      loop_.At(arrivals_[i].when, [this, i] { Arrive(i); });
    ScheduleFault();
    PublishSummaries();
    loop_.At(kCountFrom, [this] { counted_prefill_tokens_ = TokensRead(); });
    loop_.At(scenario_.arrivals_end, [this] {
      counted_prefill_tokens_ = TokensRead() - counted_prefill_tokens_;
    });
    loop_.RunUntil(scenario_.arrivals_end + kDrainTime);
    return Collect();
  }

  /// Returns what became of each arrival, after Run().
  [[nodiscard]] const std::vector<RequestOutcome>& outcomes() const {
    return outcomes_;
  }
  [[nodiscard]] const std::vector<Arrival>& arrivals() const {
    return arrivals_;
  }

 private:
  static constexpr std::uint64_t kRunSeedOffset = 104'729;
  static constexpr Duration kLocalHop = std::chrono::microseconds(500);
  static constexpr Duration kRemoteHop = std::chrono::microseconds(1'700);
  static constexpr Duration kKvLifetime = std::chrono::milliseconds(800);
  static constexpr Duration kSummaryInterval = std::chrono::milliseconds(200);
  static constexpr Duration kReportInterval = std::chrono::seconds(1);
  static constexpr Duration kSilenceNoticed = std::chrono::seconds(2);
  static constexpr Duration kTakeover = std::chrono::seconds(2);
  static constexpr Duration kLinkStall = std::chrono::seconds(20);
  static constexpr Duration kEntryRetry = std::chrono::milliseconds(200);
  static constexpr Duration kPeerGivenUp = std::chrono::seconds(3);
  static constexpr std::uint32_t kMaxShardsTried = 3;
  static constexpr std::uint32_t kProgressInterval = 16;
  static constexpr std::uint32_t kAttemptBits = 8;
  static constexpr std::uint32_t kCutOff = 3;  ///< The data centre that is.

  /// One request as its entry host keeps it.
  struct Live {
    std::uint32_t shard = 0;
    std::uint32_t attempt = 0;
    std::uint32_t shards_tried = 0;
    PlacementStage stage = PlacementStage::kQueued;
    std::uint32_t delivered = 0;  ///< By earlier attempts.
    std::uint32_t tokens = 0;     ///< By the current attempt.
    std::uint32_t prefill_tokens = 0;
    BackendServerId prefill_server;
    BackendServerId decode_server;
    TimePoint last_token_at;
    bool done = false;
  };
  struct Shard {
    std::unique_ptr<typename Policy::Placer> placer;
    std::unique_ptr<FakePrefillEngine> prefill;
    std::unique_ptr<FakeDecodeEngine> decode;
    ShardSummary summary;
    std::optional<TimePoint> wake;
  };

  static DataCentreId NameOf(std::uint32_t index) {
    return DataCentreId("dc-" + std::to_string(index));
  }
  static BackendServerId PrefillName(std::uint32_t index) {
    return BackendServerId("prefill-" + std::to_string(index));
  }
  static BackendServerId DecodeName(std::uint32_t index) {
    return BackendServerId("decode-" + std::to_string(index));
  }
  static RequestId IdOf(std::size_t index, const Arrival& arrival) {
    return {HostId("entry-" + std::to_string(arrival.data_centre)), 1, index};
  }
  static AttemptKey KeyOf(std::size_t index, std::uint32_t attempt) {
    return static_cast<AttemptKey>(index) << kAttemptBits | attempt;
  }
  static std::size_t IndexOf(AttemptKey key) { return key >> kAttemptBits; }
  static std::uint32_t AttemptOf(AttemptKey key) {
    return key & ((1U << kAttemptBits) - 1);
  }
  [[nodiscard]] bool IsCut(std::uint32_t a, std::uint32_t b) const {
    return cut_ && a != b && (a == kCutOff || b == kCutOff);
  }
  [[nodiscard]] Duration Hop(std::size_t index) const {
    return live_[index].shard == arrivals_[index].data_centre ? kLocalHop
                                                              : kRemoteHop;
  }
  /// Returns whether `key` is the current attempt of a request under way.
  [[nodiscard]] bool IsCurrent(AttemptKey key) const {
    const Live& live = live_[IndexOf(key)];
    return !live.done && live.attempt == AttemptOf(key) &&
           live.stage != PlacementStage::kQueued;
  }

  void MakeShards();
  void PutServers(std::uint32_t index, BackendServerState state);
  void StartPlacer(std::uint32_t index);
  void PublishSummaries();
  void SendReports();
  void ScheduleFault();
  void LoseEngines(bool prefill_too);
  void CutOff();
  void KillDispatcher();
  Measures Collect();
  [[nodiscard]] std::uint64_t TokensRead() const {
    std::uint64_t read = 0;
    for (const Shard& it : shards_)
      read += it.prefill->tokens_read();
    return read;
  }

  // The entry hosts.
  void Arrive(std::size_t index);
  void Place(std::size_t index, const std::optional<DataCentreId>& tried);
  PlacementRequest MakePlacement(std::size_t index) const;
  void OnGrant(const PlacementGrant& grant, std::uint32_t shard);
  void OnRefusal(const PlacementRefusal& refusal, std::uint32_t shard);
  void OnPrefillDone(AttemptKey key);
  void OnToken(AttemptKey key, bool last);
  void Fail(AttemptKey key, FailedStage stage, const BackendServerId& server);

  // The wires.
  template <typename Call>
  void Tell(std::uint32_t shard, Duration hop, Call call);
  void Drain(std::uint32_t shard);
  void Obey(const DispatchCommand& command, std::uint32_t shard);

  Policy policy_;
  Deployment deployment_;
  Scenario scenario_;
  RandomSource random_;
  EventLoop loop_;
  std::vector<Arrival> arrivals_;
  std::vector<RequestOutcome> outcomes_;
  std::vector<Live> live_;
  Blackboard blackboard_;
  ModelId model_{"summary"};
  std::array<Shard, kDataCentres> shards_;
  bool cut_ = false;
  std::uint64_t used_prefill_tokens_ = 0;
  std::uint64_t patient_event_tokens_ = 0;
  std::uint64_t counted_tokens_ = 0;
  std::uint64_t counted_prefill_tokens_ = 0;
  std::uint64_t double_tokens_ = 0;
};

}  // namespace briarlead::bench

// The definitions, as the class is a template.
#include "bench/bench_run_entry.h"   // IWYU pragma: export
#include "bench/bench_run_shards.h"  // IWYU pragma: export

#endif  // BENCH_BENCH_RUN_H_
