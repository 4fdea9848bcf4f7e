#ifndef BENCH_BENCH_RUN_ENTRY_H_
#define BENCH_BENCH_RUN_ENTRY_H_

// Entry hosts and wires of BenchRun.

#include "bench/bench_run.h"

namespace briarlead::bench {

template <PlacementPolicy Policy>
PlacementRequest BenchRun<Policy>::MakePlacement(std::size_t index) const {
  const Arrival& arrival = arrivals_[index];
  const Live& live = live_[index];
  PlacementRequest placement;
  placement.request = IdOf(index, arrival);
  const std::string customer = "customer-" + std::to_string(arrival.customer);
  placement.customer = CustomerId(customer);
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

#endif  // BENCH_BENCH_RUN_ENTRY_H_
