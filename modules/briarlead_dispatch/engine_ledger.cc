#include "briarlead_dispatch/engine_ledger.h"

#include <algorithm>
#include <chrono>

namespace briarlead {
namespace {

/// Transfers whose prefills end within this time of each other share the link.
constexpr Duration kTransferOverlap = std::chrono::milliseconds(300);

template <typename Engine>
Engine& FindOrAdd(std::vector<Engine>& engines, const BackendServerId& id) {
  const auto it =
      std::lower_bound(engines.begin(), engines.end(), id,
                       [](const Engine& engine, const BackendServerId& key) {
                         return engine.id < key;
                       });
  if (it != engines.end() && it->id == id)
    return *it;
  Engine engine;
  engine.id = id;
  return *engines.insert(it, std::move(engine));
}

template <typename Engine>
Engine* Find(std::vector<Engine>& engines, const BackendServerId& id) {
  const auto it =
      std::lower_bound(engines.begin(), engines.end(), id,
                       [](const Engine& engine, const BackendServerId& key) {
                         return engine.id < key;
                       });
  return it != engines.end() && it->id == id ? &*it : nullptr;
}

}  // namespace

void EngineLedger::SetEngines(
    std::span<const BackendServerRecord* const> prefill,
    std::span<const BackendServerRecord* const> decode,
    TimePoint now) {
  for (PrefillEngine& it : prefill_engines_)
    it.accepts_work = false;
  for (DecodeEngine& it : decode_engines_)
    it.accepts_work = false;
  for (const BackendServerRecord* record : prefill) {
    PrefillEngine& engine = FindOrAdd(prefill_engines_, record->id);
    Advance(engine, now);
    engine.incarnation = record->incarnation;
    engine.accepts_work = true;
  }
  total_slots_ = 0;
  for (const BackendServerRecord* record : decode) {
    DecodeEngine& engine = FindOrAdd(decode_engines_, record->id);
    engine.incarnation = record->incarnation;
    engine.accepts_work = true;
    engine.slots = record->slots;
    engine.kv_capacity_bytes = record->kv_capacity_bytes;
    engine.link_bytes_per_second = record->link_bytes_per_second;
    total_slots_ += engine.slots;
  }
  std::erase_if(prefill_engines_, [](const PrefillEngine& it) {
    return !it.accepts_work && it.pending.empty();
  });
  std::erase_if(decode_engines_, [](const DecodeEngine& it) {
    return !it.accepts_work && it.held.empty();
  });
}

PrefillEngine* EngineLedger::FindPrefill(const BackendServerId& id) {
  return Find(prefill_engines_, id);
}

DecodeEngine* EngineLedger::FindDecode(const BackendServerId& id) {
  return Find(decode_engines_, id);
}

void EngineLedger::Advance(PrefillEngine& engine, TimePoint now) {
  Duration elapsed = now - engine.advanced_to;
  engine.advanced_to = now;
  // Engines run urgent prefills first and those of one rank in order of
  // arrival.
  for (const Rank rank : kRanks) {
    for (PendingPrefill& it : engine.pending) {
      if (it.rank != rank)
        continue;
      const Duration done = std::min(elapsed, it.remaining);
      it.remaining -= done;
      elapsed -= done;
    }
  }
}

void EngineLedger::Hold(const ActivePlacement& placement, TimePoint now) {
  if (placement.stage == PlacementStage::kPrefill) {
    PrefillEngine& engine =
        FindOrAdd(prefill_engines_, placement.prefill_server);
    Advance(engine, now);
    engine.pending.push_back(
        {placement.ticket, placement.placement.rank, placement.prefill_time});
  }
  DecodeEngine& decode = FindOrAdd(decode_engines_, placement.decode_server);
  decode.held.push_back(&placement);
  decode.kv_held_bytes += placement.memory_bytes;
  ++held_by_rank_[static_cast<std::size_t>(placement.placement.rank)];
}

void EngineLedger::EndPrefill(const ActivePlacement& placement, TimePoint now) {
  PrefillEngine* engine = FindPrefill(placement.prefill_server);
  if (engine == nullptr)
    return;
  Advance(*engine, now);
  std::erase_if(engine->pending, [&placement](const PendingPrefill& it) {
    return it.ticket == placement.ticket;
  });
}

void EngineLedger::Release(const ActivePlacement& placement, TimePoint now) {
  EndPrefill(placement, now);
  DecodeEngine* engine = FindDecode(placement.decode_server);
  if (engine == nullptr)
    return;
  const auto it =
      std::find(engine->held.begin(), engine->held.end(), &placement);
  if (it == engine->held.end())
    return;
  engine->held.erase(it);
  engine->kv_held_bytes -= placement.memory_bytes;
  --held_by_rank_[static_cast<std::size_t>(placement.placement.rank)];
}

Duration EngineLedger::PrefillAhead(const PrefillEngine& engine,
                                    Rank rank,
                                    TimePoint now) const {
  Duration elapsed = now - engine.advanced_to;
  Duration ahead{};
  for (const PendingPrefill& it : engine.pending) {
    if (it.rank <= rank)
      ahead += it.remaining;
  }
  elapsed = std::min(elapsed, ahead);
  return ahead - elapsed;
}

Duration EngineLedger::PrefillRemaining(const BackendServerId& server,
                                        std::uint64_t ticket,
                                        TimePoint now) const {
  const PrefillEngine* engine =
      Find(const_cast<std::vector<PrefillEngine>&>(prefill_engines_), server);
  if (engine == nullptr)
    return Duration::zero();
  PrefillEngine copy = *engine;
  Advance(copy, now);
  for (const PendingPrefill& it : copy.pending) {
    if (it.ticket == ticket)
      return it.remaining;
  }
  return Duration::zero();
}

Duration EngineLedger::TransferTime(const DecodeEngine& engine,
                                    std::uint64_t bytes,
                                    TimePoint ready_at) const {
  if (engine.link_bytes_per_second == 0)
    return Duration::zero();
  std::uint64_t shared_bytes = bytes;
  for (const ActivePlacement* it : engine.held) {
    const bool transfers_kv = it->stage == PlacementStage::kPrefill ||
                              it->stage == PlacementStage::kTransfer;
    if (transfers_kv && it->ready_at > ready_at - kTransferOverlap &&
        it->ready_at < ready_at + kTransferOverlap)
      shared_bytes += it->kv_bytes;
  }
  return FromSeconds(static_cast<double>(shared_bytes) /
                     static_cast<double>(engine.link_bytes_per_second));
}

std::uint32_t EngineLedger::FreeSlots() const {
  std::uint32_t free = 0;
  for (const DecodeEngine& it : decode_engines_) {
    if (it.accepts_work && it.held.size() < it.slots)
      free += it.slots - static_cast<std::uint32_t>(it.held.size());
  }
  return free;
}

std::uint32_t EngineLedger::PrefillEngineCount() const {
  return static_cast<std::uint32_t>(
      std::count_if(prefill_engines_.begin(), prefill_engines_.end(),
                    [](const PrefillEngine& it) { return it.accepts_work; }));
}

}  // namespace briarlead
