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

template <PlacementPolicy Policy>
void BenchRun<Policy>::MakeShards() {
  for (std::uint32_t i = 0; i < kDataCentres; ++i) {
    Shard& shard = shards_[i];
    shard.prefill = std::make_unique<FakePrefillEngine>(
        loop_, deployment_.prefill_tokens_per_second,
        [this](AttemptKey key) { OnPrefillDone(key); });
    shard.decode = std::make_unique<FakeDecodeEngine>(
        loop_, deployment_.decode,
        [this](AttemptKey key, bool last) { OnToken(key, last); },
        [this, i](AttemptKey key) {
          Fail(key, FailedStage::kTransfer, DecodeName(i));
        });
    PutServers(i, BackendServerState::kServing);
    StartPlacer(i);
  }
  SendReports();
}

template <PlacementPolicy Policy>
void BenchRun<Policy>::PutServers(std::uint32_t index,
                                  BackendServerState state) {
  BackendServerRecord record;
  record.data_centre = NameOf(index);
  record.model = model_;
  record.incarnation = 1;
  const auto state_of = [state](bool alive) {
    return alive ? BackendServerState::kServing : state;
  };
  record.id = PrefillName(index);
  record.role = BackendServerRole::kPrefill;
  record.state = state_of(shards_[index].prefill->alive());
  blackboard_.servers.Put(record);
  record.id = DecodeName(index);
  record.role = BackendServerRole::kDecode;
  record.state = state_of(shards_[index].decode->alive());
  record.slots = deployment_.decode.slots;
  record.link_bytes_per_second =
      static_cast<std::uint64_t>(deployment_.decode.link_bytes_per_second);
  blackboard_.servers.Put(record);
}

template <PlacementPolicy Policy>
void BenchRun<Policy>::StartPlacer(std::uint32_t index) {
  shards_[index].placer =
      policy_.MakePlacer(NameOf(index), model_, blackboard_);
  shards_[index].placer->OnServersChanged(loop_.now());
  shards_[index].summary = shards_[index].placer->Summary(loop_.now());
  Drain(index);
}

template <PlacementPolicy Policy>
void BenchRun<Policy>::PublishSummaries() {
  for (Shard& it : shards_) {
    if (it.placer)
      it.summary = it.placer->Summary(loop_.now());
  }
  loop_.After(kSummaryInterval, [this] { PublishSummaries(); });
}

template <PlacementPolicy Policy>
void BenchRun<Policy>::SendReports() {
  for (std::uint32_t i = 0; i < kDataCentres; ++i) {
    Shard& shard = shards_[i];
    if (!shard.placer || !shard.decode->alive())
      continue;
    std::vector<HeldRequest> held;
    for (const AttemptKey key : shard.decode->Held())
      held.push_back(
          {IdOf(IndexOf(key), arrivals_[IndexOf(key)]), AttemptOf(key)});
    shard.placer->OnEngineReport(DecodeName(i), held, loop_.now());
    Drain(i);
  }
  loop_.After(kReportInterval, [this] { SendReports(); });
}

template <PlacementPolicy Policy>
void BenchRun<Policy>::ScheduleFault() {
  switch (scenario_.fault) {
    case Fault::kNone:
      return;
    case Fault::kHalfOfEnginesLost:
      loop_.At(kEventFrom, [this] { LoseEngines(true); });
      return;
    case Fault::kDecodeEnginesLost:
      loop_.At(kEventFrom, [this] { LoseEngines(false); });
      return;
    case Fault::kStalledLinks:
      loop_.At(kEventFrom, [this] {
        shards_[0].decode->StallLink(loop_.now() + kLinkStall);
      });
      return;
    case Fault::kDataCentreCutOff:
      loop_.At(kEventFrom, [this] { CutOff(); });
      loop_.At(kEventTo, [this] { cut_ = false; });
      return;
    case Fault::kDispatcherKilled:
      loop_.At(kEventFrom, [this] { KillDispatcher(); });
      return;
  }
}

template <PlacementPolicy Policy>
void BenchRun<Policy>::LoseEngines(bool prefill_too) {
  for (std::uint32_t i = kDataCentres / 2; i < kDataCentres; ++i) {
    if (prefill_too)
      shards_[i].prefill->Kill();
    shards_[i].decode->Kill();
    for (std::size_t n = 0; n < live_.size(); ++n) {
      const Live& live = live_[n];
      if (live.done || live.stage == PlacementStage::kQueued || live.shard != i)
        continue;
      const AttemptKey key = KeyOf(n, live.attempt);
      if (live.stage == PlacementStage::kPrefill) {
        if (prefill_too)
          loop_.After(kLocalHop, [this, key, i] {
            Fail(key, FailedStage::kPrefill, PrefillName(i));
          });
        continue;
      }
      loop_.After(kLocalHop, [this, key, i] {
        Fail(key, FailedStage::kDecode, DecodeName(i));
      });
    }
    loop_.After(kSilenceNoticed, [this, i] {
      PutServers(i, BackendServerState::kSilent);
      shards_[i].placer->OnServersChanged(loop_.now());
      Drain(i);
    });
  }
}

template <PlacementPolicy Policy>
void BenchRun<Policy>::CutOff() {
  cut_ = true;
  for (std::size_t n = 0; n < live_.size(); ++n) {
    Live& live = live_[n];
    const Arrival& arrival = arrivals_[n];
    if (live.done || arrival.when > loop_.now() ||
        !IsCut(arrival.data_centre, live.shard))
      continue;
    // The far side hears nothing more from this entry host and gives it up.
    const std::uint32_t shard = live.shard;
    Tell(shard, kPeerGivenUp, [this, n](auto& placer) {
      placer.OnCallerGone(IdOf(n, arrivals_[n]), loop_.now());
    });
    live.stage = PlacementStage::kQueued;
    live.delivered += live.tokens;
    live.tokens = 0;
    live.shards_tried = 0;
    Place(n, std::nullopt);
  }
}

template <PlacementPolicy Policy>
void BenchRun<Policy>::KillDispatcher() {
  shards_[0].placer.reset();
  loop_.After(kTakeover, [this] {
    StartPlacer(0);
    for (std::size_t n = 0; n < live_.size(); ++n) {
      const Live& live = live_[n];
      if (live.done || live.shard != 0 || arrivals_[n].when > loop_.now())
        continue;
      InFlightPlacement in_flight;
      in_flight.placement = MakePlacement(n);
      in_flight.stage = live.stage;
      in_flight.attempt = live.attempt;
      in_flight.prefill_server = live.prefill_server;
      in_flight.decode_server = live.decode_server;
      in_flight.placement.delivered_tokens += live.tokens;
      shards_[0].placer->OnReRegister(in_flight, loop_.now());
    }
    Drain(0);
  });
}

template <PlacementPolicy Policy>
PlacementRequest BenchRun<Policy>::MakePlacement(std::size_t index) const {
  const Arrival& arrival = arrivals_[index];
  const Live& live = live_[index];
  PlacementRequest placement;
  placement.request = IdOf(index, arrival);
  placement.customer =
      CustomerId("customer-" + std::to_string(arrival.customer));
  placement.rank = arrival.rank;
  placement.model = model_;
  placement.prompt_tokens = arrival.prompt_tokens;
  placement.max_output_tokens = arrival.max_output_tokens;
  placement.delivered_tokens = live.delivered;
  placement.first_token_target = deployment_.FirstTokenTarget(arrival.rank);
  placement.token_gap_target = deployment_.token_gap_target;
  placement.waited = loop_.now() - arrival.when;
  placement.last_attempt = live.attempt;
  return placement;
}

template <PlacementPolicy Policy>
void BenchRun<Policy>::Arrive(std::size_t index) {
  Place(index, std::nullopt);
}

template <PlacementPolicy Policy>
void BenchRun<Policy>::Place(std::size_t index,
                             const std::optional<DataCentreId>& tried) {
  const Arrival& arrival = arrivals_[index];
  Live& live = live_[index];
  std::vector<ShardSummary> reachable;
  std::vector<std::uint32_t> shard_of;
  for (std::uint32_t i = 0; i < kDataCentres; ++i) {
    if (IsCut(arrival.data_centre, i))
      continue;
    reachable.push_back(shards_[i].summary);
    shard_of.push_back(i);
  }
  const auto choice = policy_.ChooseShard(
      reachable, NameOf(arrival.data_centre), arrival.rank, tried, random_);
  ++live.shards_tried;
  if (!choice) {
    if (live.delivered > 0) {
      loop_.After(kEntryRetry, [this, index] { Place(index, std::nullopt); });
      return;
    }
    live.done = true;
    outcomes_[index].refused = true;
    return;
  }
  live.shard = shard_of[*choice];
  live.stage = PlacementStage::kQueued;
  PlacementRequest placement = MakePlacement(index);
  const Duration hop = Hop(index);
  placement.waited += hop;
  Tell(live.shard, hop, [this, placement](auto& placer) {
    placer.Enqueue(placement, loop_.now());
  });
}

template <PlacementPolicy Policy>
void BenchRun<Policy>::OnGrant(const PlacementGrant& grant,
                               std::uint32_t shard) {
  const std::size_t index = grant.request.sequence;
  Live& live = live_[index];
  const Arrival& arrival = arrivals_[index];
  if (live.done || live.shard != shard || grant.attempt <= live.attempt)
    return;
  live.delivered += live.tokens;
  live.tokens = 0;
  live.attempt = grant.attempt;
  live.stage = PlacementStage::kPrefill;
  live.prefill_server = grant.prefill_server;
  live.decode_server = grant.decode_server;
  live.prefill_tokens = arrival.prompt_tokens + live.delivered;
  const AttemptKey key = KeyOf(index, grant.attempt);
  if (!shards_[shard].prefill->alive()) {
    loop_.After(kLocalHop, [this, key, shard] {
      Fail(key, FailedStage::kPrefill, PrefillName(shard));
    });
    return;
  }
  const std::uint32_t tokens = live.prefill_tokens;
  loop_.After(kLocalHop, [this, key, shard, tokens, rank = arrival.rank] {
    if (IsCurrent(key))
      shards_[shard].prefill->Start(key, rank, tokens);
  });
}

template <PlacementPolicy Policy>
void BenchRun<Policy>::OnRefusal(const PlacementRefusal& refusal,
                                 std::uint32_t shard) {
  const std::size_t index = refusal.request.sequence;
  Live& live = live_[index];
  if (live.done || live.shard != shard)
    return;
  live.stage = PlacementStage::kQueued;
  live.delivered += live.tokens;
  live.tokens = 0;
  if (live.shards_tried < kMaxShardsTried) {
    Place(index, NameOf(shard));
    return;
  }
  if (live.delivered > 0) {
    loop_.After(kEntryRetry, [this, index] { Place(index, std::nullopt); });
    return;
  }
  live.done = true;
  outcomes_[index].refused = true;
}

template <PlacementPolicy Policy>
void BenchRun<Policy>::OnPrefillDone(AttemptKey key) {
  if (!IsCurrent(key))
    return;
  const std::size_t index = IndexOf(key);
  Live& live = live_[index];
  const Arrival& arrival = arrivals_[index];
  live.stage = PlacementStage::kTransfer;
  DecodeOffer offer;
  offer.key = key;
  offer.rank = arrival.rank;
  offer.kv_bytes = live.prefill_tokens * deployment_.kv_bytes_per_token;
  offer.kv_expires = loop_.now() + kKvLifetime;
  offer.tokens = arrival.output_tokens - live.delivered;
  const auto bytes = static_cast<std::uint64_t>(offer.kv_bytes);
  Tell(live.shard, kLocalHop + Hop(index), [this, index, key, bytes](auto& it) {
    it.OnPrefillDone(IdOf(index, arrivals_[index]), AttemptOf(key), bytes,
                     loop_.now());
  });
  const std::uint32_t shard = live.shard;
  loop_.After(2 * kLocalHop, [this, offer, shard] {
    if (!IsCurrent(offer.key))
      return;
    if (shards_[shard].decode->alive())
      shards_[shard].decode->Offer(offer);
    else
      Fail(offer.key, FailedStage::kTransfer, DecodeName(shard));
  });
}

template <PlacementPolicy Policy>
void BenchRun<Policy>::OnToken(AttemptKey key, bool last) {
  if (!IsCurrent(key))
    return;
  const std::size_t index = IndexOf(key);
  Live& live = live_[index];
  const Arrival& arrival = arrivals_[index];
  RequestOutcome& outcome = outcomes_[index];
  const TimePoint now = loop_.now();
  const RequestId id = IdOf(index, arrival);
  const std::uint32_t attempt = live.attempt;
  if (++live.tokens == 1) {
    live.stage = PlacementStage::kDecode;
    used_prefill_tokens_ += live.prefill_tokens;
    Tell(live.shard, kLocalHop + Hop(index), [this, id, attempt](auto& it) {
      it.OnFirstToken(id, attempt, loop_.now());
    });
  } else if (live.tokens % kProgressInterval == 0 && !last) {
    Tell(live.shard, kLocalHop + Hop(index),
         [this, id, attempt, tokens = live.tokens](auto& it) {
           it.OnProgress(id, attempt, tokens, loop_.now());
         });
  }
  if (live.delivered + live.tokens == 1) {
    outcome.first_token_at = now;
  } else {
    ++outcome.gaps;
    if (now - live.last_token_at > deployment_.token_gap_target)
      ++outcome.gaps_over_target;
  }
  live.last_token_at = now;
  if (now >= kCountFrom && now < scenario_.arrivals_end)
    ++counted_tokens_;
  if (arrival.rank == Rank::kPatient && now >= kEventFrom && now < kEventTo)
    ++patient_event_tokens_;
  if (live.delivered + live.tokens > arrival.output_tokens)
    ++double_tokens_;
  if (!last)
    return;
  live.done = true;
  outcome.answered = live.delivered + live.tokens == arrival.output_tokens;
  Tell(live.shard, kLocalHop + Hop(index),
       [this, id, attempt, tokens = live.tokens](auto& it) {
         it.OnFinished(id, attempt, tokens, loop_.now());
       });
}

template <PlacementPolicy Policy>
void BenchRun<Policy>::Fail(AttemptKey key,
                            FailedStage stage,
                            const BackendServerId& server) {
  if (!IsCurrent(key))
    return;
  const std::size_t index = IndexOf(key);
  Live& live = live_[index];
  live.stage = PlacementStage::kQueued;
  live.delivered += live.tokens;
  live.tokens = 0;
  Tell(live.shard, Hop(index), [this, index, key, stage, server](auto& it) {
    it.OnAttemptFailed(IdOf(index, arrivals_[index]), AttemptOf(key), stage,
                       server, loop_.now());
  });
}

template <PlacementPolicy Policy>
template <typename Call>
void BenchRun<Policy>::Tell(std::uint32_t shard, Duration hop, Call call) {
  loop_.After(hop, [this, shard, call] {
    if (!shards_[shard].placer)
      return;
    call(*shards_[shard].placer);
    Drain(shard);
  });
}

template <PlacementPolicy Policy>
void BenchRun<Policy>::Drain(std::uint32_t index) {
  Shard& shard = shards_[index];
  for (const DispatchCommand& it : shard.placer->TakeCommands())
    Obey(it, index);
  const auto wake = shard.placer->NextWake();
  if (!wake || (shard.wake && *shard.wake <= *wake))
    return;
  shard.wake = wake;
  loop_.At(*wake, [this, index, when = *wake] {
    Shard& woken = shards_[index];
    if (woken.wake != when)
      return;
    woken.wake.reset();
    if (!woken.placer)
      return;
    woken.placer->Tick(loop_.now());
    Drain(index);
  });
}

template <PlacementPolicy Policy>
void BenchRun<Policy>::Obey(const DispatchCommand& command,
                            std::uint32_t shard) {
  if (const auto* grant = std::get_if<PlacementGrant>(&command)) {
    loop_.After(Hop(grant->request.sequence),
                [this, it = *grant, shard] { OnGrant(it, shard); });
  } else if (const auto* refusal = std::get_if<PlacementRefusal>(&command)) {
    loop_.After(Hop(refusal->request.sequence),
                [this, it = *refusal, shard] { OnRefusal(it, shard); });
  } else if (const auto* cancel = std::get_if<CancelOnEngine>(&command)) {
    const AttemptKey key = KeyOf(cancel->request.sequence, cancel->attempt);
    loop_.After(kLocalHop, [this, key, shard] {
      shards_[shard].prefill->Cancel(key);
      shards_[shard].decode->Cancel(key);
      // The entry host sees the stream break, if it still follows it.
      loop_.After(kLocalHop, [this, key, shard] {
        Fail(key, FailedStage::kDecode, DecodeName(shard));
      });
    });
  }
}

template <PlacementPolicy Policy>
Measures BenchRun<Policy>::Collect() {
  Measures measures;
  Count(deployment_, scenario_, arrivals_, outcomes_, measures);
  measures.bound_share = UpperBoundShare(deployment_, scenario_, arrivals_);
  const std::uint64_t read = TokensRead();
  for (const Shard& it : shards_)
    measures.held_at_end += it.decode->held();
  const double seconds =
      ToSeconds(scenario_.arrivals_end - kCountFrom) * kDataCentres;
  measures.decode_use = static_cast<double>(counted_tokens_) /
                        (deployment_.decode.TokensPerSecond() * seconds);
  measures.prefill_use = static_cast<double>(counted_prefill_tokens_) /
                         (deployment_.prefill_tokens_per_second * seconds);
  measures.wasted_prefill_share =
      read > 0 ? 1.0 - static_cast<double>(used_prefill_tokens_) /
                           static_cast<double>(read)
               : 0.0;
  const double floor = DispatcherOptions().patient_floor * kDataCentres *
                       deployment_.decode.TokensPerSecond() *
                       ToSeconds(kEventTo - kEventFrom);
  measures.patient_floor_use =
      static_cast<double>(patient_event_tokens_) / floor;
  measures.double_tokens = double_tokens_;
  return measures;
}

}  // namespace briarlead::bench

#endif  // BENCH_BENCH_RUN_H_
