#include "briarlead_routes/server_directory.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

namespace briarlead {

namespace {

bool EqualExceptSequence(ServerRecord left, const ServerRecord& right) {
  left.sequence = right.sequence;
  return left == right;
}

/// Earlier builds compute the same value, so that digests compare.
std::uint64_t HashOf(const ServerRecord& it) {
  return std::hash<std::string>()(fmt::format(
      "{} {} {} {} {} {} {}", it.id.value(), it.service.value(),
      ToString(it.address), it.software.value(), static_cast<int>(it.state),
      static_cast<int>(it.stage), it.born_ms));
}

/// Change of the time at which a former version was heard that is worth a
/// message.
constexpr Duration kFormerVersionStep = std::chrono::seconds(5);

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
    Entry& entry = entries_[record.id];
    entry.record = record;
    entry.last_heard = now;
    by_address_[record.address].insert(record.id);
    OnRecordChanged(entry);
    RetirePreviousServers(record);
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
  } else if (record.born_ms <= found->second.left_by_ms) {
    next.state = ServerState::kGone;
  }
  if (next.software != current.software || next.service != current.service) {
    OnFormerVersion({current.service, current.software},
                    found->second.last_heard);
  }
  found->second.last_heard = std::max(found->second.last_heard, now);
  const bool changed = !EqualExceptSequence(next, current);
  if (next.address != current.address) {
    RemoveAddress(current);
    by_address_[next.address].insert(record.id);
  }
  current = next;
  if (!changed)
    return false;
  OnRecordChanged(found->second);
  RetirePreviousServers(next);
  return true;
}

bool ServerDirectory::MarkGone(const BackendServerId& id,
                               std::uint64_t born_ms,
                               TimePoint now) {
  const auto found = entries_.find(id);
  const std::uint64_t known_born_ms =
      found == entries_.end() ? 0 : found->second.record.born_ms;
  if (born_ms > known_born_ms) {
    // Its first announcement may come later, and must not bring it back. Until
    // then it isn't known where it runs: another server may have the address of
    // the earlier start.
    ServerRecord gone =
        found == entries_.end() ? ServerRecord() : found->second.record;
    gone.id = id;
    gone.address = {};
    gone.born_ms = born_ms;
    gone.sequence = 0;
    gone.state = ServerState::kGone;
    return Merge(gone, now);
  }
  if (found == entries_.end() || born_ms < known_born_ms)
    return false;
  found->second.last_heard = now;
  return SetState(found->second, ServerState::kGone);
}

bool ServerDirectory::MarkLeftBy(const BackendServerId& id,
                                 std::uint64_t left_by_ms,
                                 TimePoint now) {
  bool changed = false;
  if (!entries_.contains(id)) {
    ServerRecord gone;
    gone.id = id;
    gone.state = ServerState::kGone;
    changed = Merge(gone, now);
  }
  Entry& entry = entries_.at(id);
  entry.left_by_ms = std::max(entry.left_by_ms, left_by_ms);
  entry.last_heard = std::max(entry.last_heard, now);
  if (entry.record.born_ms > left_by_ms)
    return changed;
  return SetState(entry, ServerState::kGone) || changed;
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
  const auto [it, is_new] = former_versions_.try_emplace(version);
  FormerEntry& entry = it->second;
  if (is_new || heard - entry.last_heard >= kFormerVersionStep)
    entry.position = ++log_position_;
  entry.last_heard = is_new ? heard : std::max(entry.last_heard, heard);
  revision_ += is_new ? 1 : 0;
}

void ServerDirectory::OnHeard(const BackendServerId& id, TimePoint heard) {
  const auto found = entries_.find(id);
  if (found != entries_.end())
    found->second.last_heard = std::max(found->second.last_heard, heard);
}

void ServerDirectory::UpdateSilence(TimePoint now) {
  for (auto& [id, entry] : entries_) {
    const bool silent = now - entry.last_heard >= kSilentAge;
    if (silent == entry.silent)
      continue;
    entry.silent = silent;
    Append(entry);
    entry.silence_position = entry.position;
  }
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
    return now - it.second.last_heard >= kRecordLife;
  });
  n += std::erase_if(entries_, [&](const auto& it) {
    const Entry& entry = it.second;
    if (now - entry.last_heard < kRecordLife)
      return false;
    digest_ -= entry.hash;
    log_.erase(entry.position);
    RemoveAddress(entry.record);
    return true;
  });
  if (n > 0)
    ++revision_;
}

const ServerDirectory::Entry* ServerDirectory::Find(
    const BackendServerId& id) const {
  const auto it = entries_.find(id);
  return it == entries_.end() ? nullptr : &it->second;
}

std::vector<const ServerDirectory::Entry*> ServerDirectory::ChangedSince(
    std::uint64_t position) const {
  std::vector<const Entry*> changed;
  for (auto it = log_.upper_bound(position); it != log_.end(); ++it)
    changed.push_back(&entries_.at(it->second));
  return changed;
}

std::size_t ServerDirectory::CountChangedSince(std::uint64_t position,
                                               std::size_t max) const {
  std::size_t n = 0;
  for (auto it = log_.upper_bound(position); it != log_.end() && n < max; ++it)
    ++n;
  return n;
}

void ServerDirectory::OnRecordChanged(Entry& entry) {
  ++revision_;
  const std::uint64_t before = std::exchange(entry.hash, HashOf(entry.record));
  digest_ += entry.hash - before;
  Append(entry);
}

void ServerDirectory::Append(Entry& entry) {
  log_.erase(entry.position);
  entry.position = ++log_position_;
  log_.emplace(entry.position, entry.record.id);
}

bool ServerDirectory::SetState(Entry& entry, ServerState state) {
  if (std::exchange(entry.record.state, state) == state)
    return false;
  OnRecordChanged(entry);
  return true;
}

std::vector<ServerRecord> ServerDirectory::Records() const {
  std::vector<ServerRecord> records;
  records.reserve(entries_.size());
  for (const auto& [id, entry] : entries_)
    records.push_back(entry.record);
  return records;
}

void ServerDirectory::RemoveAddress(const ServerRecord& record) {
  const auto found = by_address_.find(record.address);
  found->second.erase(record.id);
  if (found->second.empty())
    by_address_.erase(found);
}

void ServerDirectory::RetirePreviousServers(const ServerRecord& record) {
  // By value: `record` and the sets may change on the way.
  const Endpoint address = record.address;
  if (address == Endpoint())
    return;
  const BackendServerId id = record.id;
  const std::uint64_t born_ms = record.born_ms;
  for (const BackendServerId& it : by_address_[address]) {
    if (it == id)
      continue;
    Entry& other = entries_.at(it);
    if (other.record.born_ms < born_ms)
      SetState(other, ServerState::kGone);
    else if (other.record.born_ms > born_ms)
      SetState(entries_.at(id), ServerState::kGone);
  }
}

}  // namespace briarlead
