#include "briarlead_forward/engine_load_tracker.h"

#include <algorithm>
#include <set>
#include <utility>

namespace briarlead {

namespace {

/// No prefill is queued behind another for longer.
constexpr Duration kPrefillEndLife = std::chrono::seconds(30);

}  // namespace

void EngineLoadTracker::MarkLocalChange() {
  ++local_revision_;
  ++revision_;
}

void EngineLoadTracker::SetStream(RequestKey key,
                                  const StreamLoad& load,
                                  TimePoint now) {
  stream_starts_.try_emplace({HostId(), key}, now);
  StreamLoad& stream = streams_[key];
  stream = load;
  stream.key = key;
  MarkLocalChange();
}

void EngineLoadTracker::AddTokens(RequestKey key,
                                  std::uint32_t tokens,
                                  TimePoint /*now*/) {
  const auto it = streams_.find(key);
  if (it == streams_.end())
    return;
  // Not marked as a change: the other hosts learn of the growth with the next
  // periodic message.
  it->second.tokens_held += tokens;
  it->second.tokens_remaining -= std::min(tokens, it->second.tokens_remaining);
}

void EngineLoadTracker::RemoveStream(RequestKey key, TimePoint now) {
  if (streams_.erase(key) == 0)
    return;
  NoteEnded({HostId(), key}, now);
  MarkLocalChange();
}

void EngineLoadTracker::SetPrefill(RequestKey key,
                                   const PrefillLoad& load,
                                   TimePoint /*now*/) {
  PrefillLoad& prefill = prefills_[key];
  prefill = load;
  prefill.key = key;
  MarkLocalChange();
}

void EngineLoadTracker::RemovePrefill(RequestKey key, TimePoint now) {
  const auto found = prefills_.find(key);
  if (found == prefills_.end())
    return;
  prefill_ends_[found->second.engine] = now;
  prefills_.erase(found);
  MarkLocalChange();
}

void EngineLoadTracker::SetWaiting(RequestKey key,
                                   const WaitingLoad& load,
                                   TimePoint target,
                                   TimePoint /*now*/) {
  if (waiting_.contains(key))
    return;
  waiting_[key] = {load, target};
  waiting_[key].load.key = key;
  MarkLocalChange();
}

void EngineLoadTracker::RemoveWaiting(RequestKey key, TimePoint /*now*/) {
  if (waiting_.erase(key) > 0)
    MarkLocalChange();
}

void EngineLoadTracker::OnHostLoad(const HostId& host,
                                   const HostLoad& load,
                                   TimePoint now) {
  Peer& peer = peers_[host];
  // A restarted host numbers its messages from 1 again: a much lower number is
  // not an old message.
  const bool restarted = load.number + 1000 < peer.load.number;
  if (load.number <= peer.load.number && !restarted)
    return;
  for (const PrefillLoad& it : peer.load.prefills) {
    if (std::find(load.prefills.begin(), load.prefills.end(), it) ==
        load.prefills.end()) {
      prefill_ends_[it.engine] = now;
    }
  }
  peer = {load, now};
  NoteReport(host, load, now);
  for (const StreamLoad& it : load.streams)
    reservations_.erase({host, it.key});
  ++revision_;
}

void EngineLoadTracker::NoteEnded(const HostRequest& request, TimePoint now) {
  const auto found = stream_starts_.find(request);
  if (found == stream_starts_.end())
    return;
  forecast_.OnStreamEnded(now - found->second);
  stream_starts_.erase(found);
}

void EngineLoadTracker::NoteReport(const HostId& host,
                                   const HostLoad& load,
                                   TimePoint now) {
  std::set<RequestKey> reported;
  for (const StreamLoad& it : load.streams) {
    reported.insert(it.key);
    stream_starts_.try_emplace({host, it.key}, now);
  }
  std::vector<HostRequest> ended;
  for (auto it = stream_starts_.lower_bound({host, 0});
       it != stream_starts_.end() && it->first.host == host; ++it) {
    if (!reported.contains(it->first.key))
      ended.push_back(it->first);
  }
  for (const HostRequest& it : ended)
    NoteEnded(it, now);
}

void EngineLoadTracker::Reserve(const HostRequest& request,
                                const StreamLoad& stream,
                                const std::optional<PrefillLoad>& prefill,
                                TimePoint now) {
  reservations_[request] = {stream, prefill, now + kReservationLife};
  ++revision_;
}

void EngineLoadTracker::RemoveReservation(const HostRequest& request) {
  if (reservations_.erase(request) > 0)
    ++revision_;
}

void EngineLoadTracker::Expire(TimePoint now) {
  std::erase_if(prefill_ends_, [now](const auto& it) {
    return now - it.second >= kPrefillEndLife;
  });
  std::size_t n = std::erase_if(peers_, [now](const auto& it) {
    return now - it.second.last_heard >= kPeerTimeout;
  });
  if (n > 0) {
    // Nobody knows when the streams of a lost host end.
    std::erase_if(stream_starts_, [this](const auto& it) {
      return !it.first.host.empty() && !peers_.contains(it.first.host);
    });
  }
  n += std::erase_if(reservations_,
                     [now](const auto& it) { return now >= it.second.ends; });
  if (n > 0)
    ++revision_;
}

HostLoad EngineLoadTracker::LocalLoad(TimePoint now) {
  HostLoad load;
  load.number = ++last_number_;
  for (const auto& [key, it] : streams_) {
    if (load.streams.size() < HostLoad::kMaxStreams)
      load.streams.push_back(it);
  }
  for (const auto& [key, it] : prefills_)
    load.prefills.push_back(it);
  for (const auto& [key, it] : waiting_) {
    if (load.waiting.size() >= HostLoad::kMaxWaiting)
      break;
    load.waiting.push_back(it.load);
    load.waiting.back().target_left = it.target - now;
  }
  return load;
}

template <typename Action>
void EngineLoadTracker::ForEachStream(Action action) const {
  for (const auto& [key, it] : streams_)
    action(it);
  for (const auto& [host, peer] : peers_)
    std::for_each(peer.load.streams.begin(), peer.load.streams.end(), action);
  for (const auto& [request, it] : reservations_)
    action(it.stream);
}

template <typename Action>
void EngineLoadTracker::ForEachPrefill(Action action) const {
  for (const auto& [key, it] : prefills_)
    action(it);
  for (const auto& [host, peer] : peers_)
    std::for_each(peer.load.prefills.begin(), peer.load.prefills.end(), action);
  for (const auto& [request, it] : reservations_) {
    if (it.prefill.has_value())
      action(*it.prefill);
  }
}

std::vector<StreamLoad> EngineLoadTracker::StreamsOn(
    const BackendServerId& engine) const {
  std::vector<StreamLoad> streams;
  ForEachStream([&](const StreamLoad& it) {
    if (it.engine == engine)
      streams.push_back(it);
  });
  return streams;
}

std::map<BackendServerId, std::vector<StreamLoad>>
EngineLoadTracker::StreamsByEngine() const {
  std::map<BackendServerId, std::vector<StreamLoad>> streams;
  ForEachStream(
      [&](const StreamLoad& it) { streams[it.engine].push_back(it); });
  return streams;
}

std::uint64_t EngineLoadTracker::PrefillBacklog(
    const BackendServerId& engine) const {
  std::uint64_t tokens = 0;
  ForEachPrefill([&](const PrefillLoad& it) {
    if (it.engine == engine)
      tokens += it.tokens;
  });
  return tokens;
}

void EngineLoadTracker::NotePrefill(const ServerRecord& engine,
                                    const PrefillWork& work,
                                    bool knows_all,
                                    TimePoint now) {
  if (work.backlog <= 0) {
    speeds_.OnPrefill(engine, work.tokens, now - work.sent_at, true, true, now);
    return;
  }
  const auto ended = prefill_ends_.find(engine.id);
  if (knows_all && ended != prefill_ends_.end() &&
      ended->second > work.sent_at) {
    speeds_.OnPrefill(engine, work.tokens, now - ended->second, false, true,
                      now);
    return;
  }
  // On average, half of the first prompt in the queue was processed already.
  const double done = std::min(work.tokens, work.backlog) / 2;
  speeds_.OnPrefill(engine, work.tokens + work.backlog - done,
                    now - work.sent_at, true, false, now);
}

void EngineLoadTracker::NotePace(const ServerRecord& engine,
                                 std::uint32_t tokens,
                                 Duration took,
                                 TimePoint now) {
  speeds_.OnPace(engine, tokens, took, StreamsOn(engine.id).size(), now);
}

void EngineLoadTracker::NoteReported(const ServerRecord& engine,
                                     const EngineSpeedReport::Entry& entry,
                                     TimePoint now) {
  speeds_.OnReported(engine, entry, StreamsOn(engine.id).size(), now);
}

std::size_t EngineLoadTracker::stream_count() const {
  std::size_t n = streams_.size() + reservations_.size();
  for (const auto& [host, peer] : peers_)
    n += peer.load.streams.size();
  return n;
}

std::vector<EngineLoadTracker::Waiting> EngineLoadTracker::WaitingInOrder(
    const ServiceId& service,
    TimePoint now) const {
  std::vector<Waiting> all;
  for (const auto& [key, it] : waiting_) {
    if (it.load.service != service)
      continue;
    all.push_back({it.load, {HostId(), key}});
    all.back().load.target_left = it.target - now;
  }
  for (const auto& [host, peer] : peers_) {
    for (const WaitingLoad& it : peer.load.waiting) {
      // A placed request stays in the host's report until the next one.
      if (it.service != service || reservations_.contains({host, it.key}))
        continue;
      all.push_back({it, {host, it.key}});
      all.back().load.target_left -= now - peer.last_heard;
    }
  }
  const double speed = PromptSpeed(service);
  std::stable_sort(
      all.begin(), all.end(), [&](const Waiting& left, const Waiting& right) {
        return ServingOrder(left.load, speed) < ServingOrder(right.load, speed);
      });
  return all;
}

}  // namespace briarlead
