#include "briarlead_routes/server_directory.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace briarlead {

namespace {

bool EqualExceptSequence(ServerRecord left, const ServerRecord& right) {
  left.sequence = right.sequence;
  return left == right;
}

}  // namespace

std::string_view ToString(ServerState state) {
  switch (state) {
    case ServerState::kReady:
      return "ready";
    case ServerState::kLeaving:
      return "leaving";
    case ServerState::kGone:
      return "gone";
  }
  return "unknown";
}

std::string_view ToString(EngineStage stage) {
  switch (stage) {
    case EngineStage::kNone:
      return "none";
    case EngineStage::kPrefill:
      return "prefill";
    case EngineStage::kDecode:
      return "decode";
  }
  return "unknown";
}

bool ServerDirectory::Merge(const ServerRecord& record, TimePoint now) {
  const auto found = entries_.find(record.id);
  if (found == entries_.end()) {
    entries_[record.id] = {record, now};
    RetirePreviousServers(record);
    ++revision_;
    return true;
  }
  ServerRecord& current = found->second.record;
  if (record.born_ms < current.born_ms)
    return false;
  ServerRecord next = record;
  if (record.born_ms == current.born_ms) {
    if (record.sequence < current.sequence && record.state <= current.state)
      return false;
    if (record.sequence < current.sequence)
      next = current;
    next.state = std::max(record.state, current.state);
  }
  if (next.software != current.software || next.service != current.service) {
    OnFormerVersion({current.service, current.software},
                    found->second.last_heard);
  }
  found->second.last_heard = std::max(found->second.last_heard, now);
  const bool changed = !EqualExceptSequence(next, current);
  current = next;
  if (!changed)
    return false;
  RetirePreviousServers(next);
  ++revision_;
  return true;
}

bool ServerDirectory::MarkGone(const BackendServerId& id,
                               std::uint64_t born_ms,
                               TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end())
    return false;
  ServerRecord& current = found->second.record;
  if (born_ms != 0 && born_ms != current.born_ms)
    return false;
  found->second.last_heard = now;
  if (std::exchange(current.state, ServerState::kGone) == ServerState::kGone)
    return false;
  ++revision_;
  return true;
}

void ServerDirectory::OnOthersHeard(const std::set<BackendServerId>& except,
                                    TimePoint heard) {
  for (auto& [id, entry] : entries_) {
    if (!except.contains(id))
      entry.last_heard = std::max(entry.last_heard, heard);
  }
}

void ServerDirectory::OnFormerVersion(const ServiceVersion& version,
                                      TimePoint heard) {
  const auto [it, is_new] = former_versions_.try_emplace(version, heard);
  it->second = std::max(it->second, heard);
  revision_ += is_new ? 1 : 0;
}

std::vector<SoftwareVersion> ServerDirectory::VersionsOf(
    const ServiceId& service) const {
  std::set<SoftwareVersion> versions;
  for (const auto& [id, entry] : entries_) {
    if (entry.record.service == service)
      versions.insert(entry.record.software);
  }
  for (const auto& [version, heard] : former_versions_) {
    if (version.service == service)
      versions.insert(version.software);
  }
  return {versions.begin(), versions.end()};
}

std::set<ServiceId> ServerDirectory::MixedServices() const {
  std::set<ServiceVersion> versions;
  for (const auto& [id, entry] : entries_)
    versions.insert({entry.record.service, entry.record.software});
  for (const auto& [version, heard] : former_versions_)
    versions.insert(version);
  std::set<ServiceId> mixed;
  const ServiceId* previous = nullptr;
  for (const ServiceVersion& it : versions) {
    if (previous != nullptr && *previous == it.service)
      mixed.insert(it.service);
    previous = &it.service;
  }
  return mixed;
}

void ServerDirectory::Expire(TimePoint now) {
  std::size_t n = std::erase_if(former_versions_, [now](const auto& it) {
    return now - it.second >= kRecordLife;
  });
  n += std::erase_if(entries_, [now](const auto& it) {
    return now - it.second.last_heard >= kRecordLife;
  });
  if (n > 0)
    ++revision_;
}

const ServerDirectory::Entry* ServerDirectory::Find(
    const BackendServerId& id) const {
  const auto it = entries_.find(id);
  return it == entries_.end() ? nullptr : &it->second;
}

std::uint64_t ServerDirectory::Digest() const {
  if (digest_revision_ == revision_)
    return digest_;
  std::uint64_t sum = 0;
  for (const auto& [id, entry] : entries_) {
    const ServerRecord& it = entry.record;
    sum += std::hash<std::string>()(fmt::format(
        "{} {} {} {} {} {} {}", id.value(), it.service.value(),
        ToString(it.address), it.software.value(), static_cast<int>(it.state),
        static_cast<int>(it.stage), it.born_ms));
  }
  digest_ = sum;
  digest_revision_ = revision_;
  return sum;
}

std::vector<ServerRecord> ServerDirectory::Records() const {
  std::vector<ServerRecord> records;
  records.reserve(entries_.size());
  for (const auto& [id, entry] : entries_)
    records.push_back(entry.record);
  return records;
}

void ServerDirectory::RetirePreviousServers(const ServerRecord& record) {
  for (auto& [id, entry] : entries_) {
    if (id == record.id || entry.record.address != record.address)
      continue;
    if (entry.record.born_ms < record.born_ms)
      entry.record.state = ServerState::kGone;
    else if (entry.record.born_ms > record.born_ms)
      entries_[record.id].record.state = ServerState::kGone;
  }
}

}  // namespace briarlead
