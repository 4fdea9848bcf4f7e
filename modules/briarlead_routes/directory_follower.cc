#include "briarlead_routes/directory_follower.h"

#include <boost/container_hash/hash.hpp>
#include <unordered_set>
#include <utility>

namespace briarlead {

namespace {

/// Rendezvous hashing: each host ranks the sources in its own order.
std::size_t RankOf(const Endpoint& host, const Endpoint& source) {
  std::size_t seed = 0;
  for (const Endpoint* it : {&host, &source}) {
    boost::hash_combine(seed, it->address);
    boost::hash_combine(seed, it->port);
  }
  return seed;
}

}  // namespace

DirectoryFollower::DirectoryFollower(ServerDirectory& directory,
                                     Endpoint self,
                                     Follows follows)
    : directory_(directory), self_(std::move(self)), follows_(follows) {}

void DirectoryFollower::SetSources(std::span<const Endpoint> sources,
                                   TimePoint now) {
  const std::set<Endpoint> named(sources.begin(), sources.end());
  std::erase_if(sources_,
                [&](const auto& it) { return !named.contains(it.first); });
  for (const Endpoint& it : named)
    sources_.try_emplace(it);
  if (follows_ == Follows::kOneSource)
    Follow(BestSource(now));
}

std::optional<Endpoint> DirectoryFollower::BestSource(TimePoint now) const {
  const auto current =
      followed_.has_value() ? sources_.find(*followed_) : sources_.end();
  const bool keeps_current =
      current != sources_.end() && !current->second.HasFailed(now);
  std::optional<Endpoint> best;
  std::size_t best_rank = 0;
  for (const auto& [endpoint, source] : sources_) {
    const bool is_current = keeps_current && endpoint == current->first;
    const bool is_settled =
        source.has_answered() && now - source.answers_since() >= kReturnTime;
    if (source.HasFailed(now) || (keeps_current && !is_current && !is_settled))
      continue;
    const std::size_t rank = RankOf(self_, endpoint);
    if (!best.has_value() || rank > best_rank) {
      best = endpoint;
      best_rank = rank;
    }
  }
  return best.has_value() ? best : followed_;
}

void DirectoryFollower::Follow(const std::optional<Endpoint>& source) {
  if (source == followed_)
    return;
  followed_ = source;
  silent_.clear();
  knows_silent_ = false;
}

std::optional<DirectoryRequest> DirectoryFollower::TakeRequest(
    const Endpoint& source,
    const HostHeartbeat& heartbeat,
    TimePoint now) {
  const auto found = sources_.find(source);
  if (found == sources_.end() || !found->second.WantsRequest(now))
    return std::nullopt;
  DirectorySource& it = found->second;
  it.OnRequestSent(now);
  DirectoryRequest request;
  request.heartbeat = heartbeat;
  request.incarnation = it.revision() == 0 ? 0 : it.incarnation();
  request.revision = it.revision();
  request.follows = IsFollowed(source);
  request.knows_silent = follows_ == Follows::kAllSources || knows_silent_;
  return request;
}

bool DirectoryFollower::WantsHeartbeat(const Endpoint& source,
                                       TimePoint now) const {
  const auto found = sources_.find(source);
  return found == sources_.end() || found->second.WantsHeartbeat(now);
}

void DirectoryFollower::OnProcess(const Endpoint& source,
                                  std::uint64_t incarnation) {
  const auto found = sources_.find(source);
  if (found != sources_.end())
    found->second.OnProcess(incarnation);
}

bool DirectoryFollower::IsFollowed(const Endpoint& source) const {
  return follows_ == Follows::kAllSources || followed_ == source;
}

std::vector<AnnouncedServer> DirectoryFollower::OnUpdate(
    const Endpoint& source,
    const DirectoryUpdate& update,
    TimePoint now) {
  OnHeardList(update, now);
  if (update.incarnation == 0)
    return Merge(update, now);
  DirectorySource& it = sources_[source];
  const bool restarted =
      it.has_answered() && it.incarnation() != update.incarnation;
  it.OnAnswer(update, now);
  const bool is_followed = followed_ == source;
  if (restarted && is_followed) {
    silent_.clear();
    knows_silent_ = false;
  }
  std::vector<AnnouncedServer> changed = Merge(update, now);
  // The directory may have changed since the request.
  const bool is_lost =
      update.same && update.servers_digest != directory_.Digest();
  if (update.to == 0 || is_lost || update.from > it.revision())
    return changed;
  it.OnConfirmed(update.to, now);
  if (is_followed) {
    UpdateSilence(update);
    if (update.others_heard)
      Refresh(now);
  }
  return changed;
}

std::vector<AnnouncedServer> DirectoryFollower::Merge(
    const DirectoryUpdate& update,
    TimePoint now) {
  for (const FormerVersion& it : update.former_versions)
    directory_.OnFormerVersion(it.version, now - it.age);
  std::vector<AnnouncedServer> changed;
  for (const AnnouncedServer& it : update.servers) {
    // One that is about to be forgotten here would only come and go.
    if (it.age >= ServerDirectory::kRecordLife)
      continue;
    if (directory_.Merge(it.record, now - it.age))
      changed.push_back(it);
  }
  return changed;
}

void DirectoryFollower::UpdateSilence(const DirectoryUpdate& update) {
  if (update.all_silent) {
    silent_.clear();
    knows_silent_ = true;
    recent_revision_ = 0;
  }
  for (const AnnouncedServer& it : update.servers) {
    if (it.age >= ServerDirectory::kSilentAge) {
      silent_.insert(it.record.id);
      recent_.erase(it.record.id);
    } else {
      silent_.erase(it.record.id);
      recent_.insert(it.record.id);
    }
  }
  if (update.servers_digest != directory_.Digest() ||
      std::exchange(recent_revision_, directory_.revision()) ==
          directory_.revision()) {
    return;
  }
  // Both have the same servers, also those that others told this host of.
  recent_.clear();
  for (const auto& [id, entry] : directory_.entries()) {
    if (!silent_.contains(id))
      recent_.insert(recent_.end(), id);
  }
  std::erase_if(silent_, [this](const BackendServerId& it) {
    return directory_.Find(it) == nullptr;
  });
}

void DirectoryFollower::Refresh(TimePoint now) {
  if (!knows_silent_ || now < next_refresh_)
    return;
  next_refresh_ = now + kRefreshInterval;
  for (const BackendServerId& it : recent_)
    directory_.OnHeard(it, now - kAssumedAge);
}

void DirectoryFollower::OnHeardList(const DirectoryUpdate& update,
                                    TimePoint now) {
  if (update.heard.empty() || follows_ != Follows::kAllSources)
    return;
  const std::unordered_set<std::uint64_t> names(update.heard.begin(),
                                                update.heard.end());
  const TimePoint heard =
      now - std::chrono::milliseconds(update.heard_within_ms);
  for (const auto& [id, entry] : directory_.entries()) {
    if (names.contains(ShortNameOf(id)))
      directory_.OnHeard(id, heard);
  }
}

bool DirectoryFollower::Answers(const Endpoint& source, TimePoint now) const {
  const auto found = sources_.find(source);
  return found != sources_.end() && !found->second.WantsHeartbeat(now);
}

TimePoint DirectoryFollower::LastConfirmed(const Endpoint& source) const {
  const auto found = sources_.find(source);
  return found == sources_.end() ? TimePoint() : found->second.last_confirmed();
}

}  // namespace briarlead
