#include "briarlead_forward/engine_book.h"

#include <algorithm>

namespace briarlead {

void EngineBook::NoteOwnChange() {
  ++own_revision_;
  ++revision_;
}

void EngineBook::SetStream(BookKey key,
                           const StreamLoad& load,
                           TimePoint /*now*/) {
  streams_[key] = load;
  NoteOwnChange();
}

void EngineBook::AddTokens(BookKey key,
                           std::uint32_t tokens,
                           TimePoint /*now*/) {
  const auto it = streams_.find(key);
  if (it == streams_.end())
    return;
  // Others learn of the growth with the next message; it is no change that
  // they must know at once.
  it->second.tokens_held += tokens;
  it->second.tokens_to_come -= std::min(tokens, it->second.tokens_to_come);
}

void EngineBook::RemoveStream(BookKey key, TimePoint /*now*/) {
  if (streams_.erase(key) > 0)
    NoteOwnChange();
}

void EngineBook::SetPrefill(BookKey key,
                            const PrefillLoad& load,
                            TimePoint /*now*/) {
  prefills_[key] = load;
  NoteOwnChange();
}

void EngineBook::RemovePrefill(BookKey key, TimePoint /*now*/) {
  if (prefills_.erase(key) > 0)
    NoteOwnChange();
}

void EngineBook::SetWaiting(BookKey key,
                            const WaitingLoad& load,
                            TimePoint target,
                            TimePoint /*now*/) {
  if (waiting_.contains(key))
    return;
  waiting_[key] = {load, target};
  NoteOwnChange();
}

void EngineBook::RemoveWaiting(BookKey key, TimePoint /*now*/) {
  if (waiting_.erase(key) > 0)
    NoteOwnChange();
}

void EngineBook::OnHostLoad(const HostId& host,
                            const HostLoad& load,
                            TimePoint now) {
  OtherHost& other = others_[host];
  // A host that starts anew counts from the start again.
  const bool restarted = load.number + 1000 < other.load.number;
  if (load.number <= other.load.number && !restarted)
    return;
  other = {load, now};
  ++revision_;
}

void EngineBook::Expire(TimePoint now) {
  const std::size_t n = std::erase_if(others_, [now](const auto& it) {
    return now - it.second.heard >= kHostLife;
  });
  if (n > 0)
    ++revision_;
}

HostLoad EngineBook::Own(TimePoint now) {
  HostLoad load;
  load.number = ++last_number_;
  for (const auto& [key, it] : streams_) {
    if (load.streams.size() < HostLoad::kMostStreams)
      load.streams.push_back(it);
  }
  for (const auto& [key, it] : prefills_)
    load.prefills.push_back(it);
  for (const auto& [key, it] : waiting_) {
    if (load.waiting.size() >= HostLoad::kMostWaiting)
      break;
    load.waiting.push_back(it.load);
    load.waiting.back().target_left = it.target - now;
  }
  return load;
}

std::vector<StreamLoad> EngineBook::StreamsOn(
    const BackendServerId& engine) const {
  std::vector<StreamLoad> streams;
  const auto take = [&](const StreamLoad& it) {
    if (it.engine == engine)
      streams.push_back(it);
  };
  for (const auto& [key, it] : streams_)
    take(it);
  for (const auto& [host, other] : others_) {
    for (const StreamLoad& it : other.load.streams)
      take(it);
  }
  return streams;
}

std::uint64_t EngineBook::PrefillBacklog(const BackendServerId& engine) const {
  std::uint64_t tokens = 0;
  const auto take = [&](const PrefillLoad& it) {
    if (it.engine == engine)
      tokens += it.tokens;
  };
  for (const auto& [key, it] : prefills_)
    take(it);
  for (const auto& [host, other] : others_) {
    for (const PrefillLoad& it : other.load.prefills)
      take(it);
  }
  return tokens;
}

std::size_t EngineBook::stream_count() const {
  std::size_t n = streams_.size();
  for (const auto& [host, other] : others_)
    n += other.load.streams.size();
  return n;
}

std::vector<EngineBook::Waiting> EngineBook::WaitingInOrder(
    const ServiceId& service,
    TimePoint now) const {
  std::vector<Waiting> all;
  for (const auto& [key, it] : waiting_) {
    if (it.load.service != service)
      continue;
    all.push_back({it.load, true, key, {}});
    all.back().load.target_left = it.target - now;
  }
  for (const auto& [host, other] : others_) {
    for (const WaitingLoad& it : other.load.waiting) {
      if (it.service != service)
        continue;
      all.push_back({it, false, 0, host.value()});
      all.back().load.target_left -= now - other.heard;
    }
  }
  std::stable_sort(all.begin(), all.end(),
                   [&](const Waiting& left, const Waiting& right) {
                     return ServingOrder(left.load) < ServingOrder(right.load);
                   });
  return all;
}

}  // namespace briarlead
