#ifndef BENCH_BENCH_RUN_SHARDS_H_
#define BENCH_BENCH_RUN_SHARDS_H_

// Shards and faults of BenchRun.

#include "bench/bench_run.h"

namespace briarlead::bench {

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
    std::vector<HeldAttempt> held;
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

}  // namespace briarlead::bench

#endif  // BENCH_BENCH_RUN_SHARDS_H_
