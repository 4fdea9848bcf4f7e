#include "briarlead_registry/directory_feed.h"

#include <utility>

namespace briarlead {

namespace {

std::size_t SizeOf(const std::vector<std::string>& messages) {
  std::size_t bytes = 0;
  for (const std::string& it : messages)
    bytes += it.size();
  return bytes;
}

AnnouncedServer WithAge(const ServerDirectory::Entry& entry, TimePoint now) {
  return {entry.record, now - entry.last_heard};
}

}  // namespace

std::vector<std::string> DirectoryFeed::Answer(const Endpoint& host,
                                               const DirectoryRequest& request,
                                               std::uint64_t hosts_digest,
                                               TimePoint now) {
  Prune(now);
  const bool known = KnowsRevision(request);
  if (known)
    in_flight_.OnAcknowledged(host, request.revision);
  if (request.heartbeat.servers_digest == directory_.Digest()) {
    Kept kept;
    kept.messages = {EncodeRoutingMessage(Same(request, hosts_digest, now))};
    kept.to = directory_.log_position();
    return Send(host, kept, hosts_digest, now);
  }
  if (known &&
      (request.follows ||
       directory_.CountChangedSince(request.revision, kMaxStandbyChanges + 1) <=
           kMaxStandbyChanges)) {
    return Send(host, Changes(request, hosts_digest, now), hosts_digest, now);
  }
  if (known || !request.follows)
    return {EncodeRoutingMessage(Nothing(hosts_digest))};
  return Send(host, Whole(request.heartbeat.data_centre, hosts_digest, now),
              hosts_digest, now);
}

bool DirectoryFeed::KnowsRevision(const DirectoryRequest& request) const {
  return request.incarnation == incarnation_ && request.revision > 0 &&
         request.revision <= directory_.log_position();
}

std::vector<std::string> DirectoryFeed::Send(const Endpoint& host,
                                             const Kept& kept,
                                             std::uint64_t hosts_digest,
                                             TimePoint now) {
  const std::size_t bytes = SizeOf(kept.messages);
  if (!in_flight_.MaySend(host, bytes, now))
    return {EncodeRoutingMessage(Nothing(hosts_digest))};
  in_flight_.OnSent(host, kept.to, bytes, now);
  return kept.messages;
}

DirectoryUpdate DirectoryFeed::Nothing(std::uint64_t hosts_digest) const {
  DirectoryUpdate update;
  update.incarnation = incarnation_;
  update.servers_digest = directory_.Digest();
  update.hosts_digest = hosts_digest;
  return update;
}

DirectoryUpdate DirectoryFeed::UpToNow(std::uint64_t from,
                                       std::uint64_t hosts_digest,
                                       TimePoint now) const {
  DirectoryUpdate update = Nothing(hosts_digest);
  update.from = from;
  update.to = directory_.log_position();
  update.others_heard = true;
  for (const auto& [version, former] : directory_.former_versions()) {
    if (former.position > from)
      update.former_versions.push_back({version, now - former.last_heard});
  }
  return update;
}

DirectoryUpdate DirectoryFeed::Same(const DirectoryRequest& request,
                                    std::uint64_t hosts_digest,
                                    TimePoint now) const {
  const bool known = KnowsRevision(request);
  DirectoryUpdate update =
      UpToNow(known ? request.revision : 0, hosts_digest, now);
  update.same = true;
  if (!request.follows)
    return update;
  update.all_silent = !known || !request.knows_silent;
  for (const ServerDirectory::Entry* it :
       directory_.ChangedSince(update.all_silent ? 0 : update.from)) {
    const bool told =
        update.all_silent ? it->silent : it->silence_position > update.from;
    if (told)
      update.servers.push_back(WithAge(*it, now));
  }
  return update;
}

const DirectoryFeed::Kept& DirectoryFeed::Changes(
    const DirectoryRequest& request,
    std::uint64_t hosts_digest,
    TimePoint now) {
  const bool all_silent = request.follows && !request.knows_silent;
  Kept& kept = changes_[{request.revision, all_silent}];
  if (kept.to == directory_.log_position())
    return kept;
  DirectoryUpdate update = UpToNow(request.revision, hosts_digest, now);
  update.all_silent = all_silent;
  for (const ServerDirectory::Entry* it :
       directory_.ChangedSince(all_silent ? 0 : request.revision)) {
    if (it->position > request.revision || it->silent)
      update.servers.push_back(WithAge(*it, now));
  }
  kept = {{EncodeRoutingMessage(update)}, update.to, now};
  return kept;
}

const DirectoryFeed::Kept& DirectoryFeed::Whole(const DataCentreId& data_centre,
                                                std::uint64_t hosts_digest,
                                                TimePoint now) {
  Kept& kept = whole_[data_centre];
  if (!kept.messages.empty())
    return kept;
  // Those of the host's data centre come first, so that it can serve soon.
  DirectoryUpdate near = Nothing(hosts_digest);
  DirectoryUpdate far = UpToNow(0, hosts_digest, now);
  far.all_silent = true;
  for (const auto& [id, entry] : directory_.entries()) {
    const bool is_near = entry.record.data_centre == data_centre;
    if (is_near)
      near.servers.push_back(WithAge(entry, now));
    if (!is_near || entry.silent)
      far.servers.push_back(WithAge(entry, now));
  }
  kept = {{}, far.to, now};
  if (!near.servers.empty())
    kept.messages.push_back(EncodeRoutingMessage(near));
  kept.messages.push_back(EncodeRoutingMessage(far));
  return kept;
}

std::optional<std::vector<AnnouncedServer>> DirectoryFeed::AnswerDigest(
    const Endpoint& host,
    TimePoint now) {
  // Such a host doesn't acknowledge; its next heartbeat asks again.
  in_flight_.OnLost(host);
  const std::size_t bytes = directory_.entries().size() * kServerBytes;
  if (!in_flight_.MaySend(host, bytes, now))
    return std::nullopt;
  in_flight_.OnSent(host, directory_.log_position(), bytes, now);
  std::vector<AnnouncedServer> servers;
  for (const auto& [id, entry] : directory_.entries())
    servers.push_back(WithAge(entry, now));
  return servers;
}

std::size_t DirectoryFeed::HeldBytes() const {
  std::size_t bytes = in_flight_.total();
  for (const auto& [key, kept] : changes_)
    bytes += SizeOf(kept.messages);
  for (const auto& [key, kept] : whole_)
    bytes += SizeOf(kept.messages);
  return bytes;
}

void DirectoryFeed::Prune(TimePoint now) {
  const auto is_old = [now](const auto& it) {
    return now - it.second.encoded_at >= kReuseTime;
  };
  std::erase_if(whole_, is_old);
  std::erase_if(changes_, is_old);
  // Answers take hosts up to the present position, which has moved.
  if (std::exchange(pruned_at_position_, directory_.log_position()) !=
      directory_.log_position()) {
    changes_.clear();
  }
  std::size_t bytes = 0;
  for (const auto& [key, kept] : changes_)
    bytes += SizeOf(kept.messages);
  if (bytes > kMaxKeptBytes)
    changes_.clear();
}

}  // namespace briarlead
