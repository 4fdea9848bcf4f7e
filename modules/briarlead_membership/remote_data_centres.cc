#include "briarlead_membership/remote_data_centres.h"

#include <algorithm>
#include <tuple>

namespace briarlead {

namespace {

/// A summary replaces the known one only if it is newer by at least this much.
/// Ages don't include the transmission time of a message, so a copy of a known
/// summary that arrives late appears newer than it is.
constexpr Duration kSummaryMargin = std::chrono::milliseconds(500);
/// Most endpoints remembered per data centre.
constexpr std::size_t kMaxContacts = 4;

void AddContact(std::vector<Endpoint>& contacts, const Endpoint& endpoint) {
  std::erase(contacts, endpoint);
  contacts.push_back(endpoint);
  if (contacts.size() > kMaxContacts)
    contacts.erase(contacts.begin());
}

}  // namespace

RemoteDataCentres::RemoteDataCentres(const MembershipSettings& settings,
                                     const DataCentreId& own,
                                     HostTable& hosts,
                                     MembershipCommands& commands)
    : settings_(settings), own_(own), hosts_(hosts), commands_(commands) {}

void RemoteDataCentres::Merge(const DataCentreSummary& summary, TimePoint now) {
  if (summary.data_centre == own_)
    return;
  Remote& remote = remotes_[summary.data_centre];
  const TimePoint created_at = now - summary.age;
  const bool is_first = remote.summary.data_centre.empty();
  if (!is_first && created_at < remote.created_at + kSummaryMargin)
    return;
  for (const Delegate& it : remote.summary.delegates) {
    const bool stays =
        std::ranges::find(summary.delegates, it.id, &Delegate::id) !=
        summary.delegates.end();
    if (!stays)
      hosts_.Erase(it.id);
  }
  remote.summary = summary;
  remote.created_at = created_at;
  remote.sends = 0;
  for (const Delegate& it : summary.delegates) {
    AddContact(remote.contacts, it.peers);
    Publish(it, remote);
  }
  if (summary.age < settings_.remote_suspect_timeout)
    SetState(remote, HostState::kAlive);
}

void RemoteDataCentres::OnMessageFrom(const HostEntry& sender, TimePoint now) {
  if (sender.data_centre == own_)
    return;
  AddContact(remotes_[sender.data_centre].contacts, sender.peers);
  if (HostRecord* record = hosts_.Find(sender.id))
    record->last_heard = now;
}

void RemoteDataCentres::Publish(const Delegate& delegate,
                                const Remote& remote) {
  HostRecord record;
  if (const HostRecord* known = hosts_.Find(delegate.id))
    record = *known;
  const bool is_new = record.id.empty();
  record.id = delegate.id;
  record.data_centre = remote.summary.data_centre;
  record.callers = delegate.callers;
  record.peers = delegate.peers;
  record.incarnation = delegate.incarnation;
  record.state = remote.state;
  record.lists_revision = remote.summary.lists_revision;
  hosts_.Put(record);
  if (is_new) {
    commands_.emplace_back(
        HostStateChanged{record.id, record.incarnation, record.state});
  }
}

void RemoteDataCentres::SetState(Remote& remote, HostState state) {
  if (remote.state == state)
    return;
  remote.state = state;
  for (const Delegate& it : remote.summary.delegates) {
    Publish(it, remote);
    commands_.emplace_back(HostStateChanged{it.id, it.incarnation, state});
  }
}

void RemoteDataCentres::Tick(TimePoint now) {
  for (auto& [id, remote] : remotes_) {
    if (remote.summary.data_centre.empty())
      continue;
    const Duration age = now - remote.created_at;
    if (age >= settings_.remote_dead_timeout)
      SetState(remote, HostState::kDead);
    else if (age >= settings_.remote_suspect_timeout)
      SetState(remote, HostState::kSuspect);
  }
}

std::vector<RemoteContact> RemoteDataCentres::Contacts(
    RandomSource& random) const {
  std::vector<RemoteContact> contacts;
  for (const auto& [id, remote] : remotes_) {
    const std::size_t n = remote.contacts.size();
    if (n > 0)
      contacts.push_back({id, remote.contacts[random.Below(n)]});
  }
  return contacts;
}

std::vector<DataCentreSummary> RemoteDataCentres::NextSummaries(
    std::size_t count,
    TimePoint now) {
  std::vector<Remote*> order;
  for (auto& [id, remote] : remotes_) {
    if (!remote.summary.data_centre.empty())
      order.push_back(&remote);
  }
  std::ranges::stable_sort(order, {}, [](const Remote* it) {
    return std::tuple(it->sends, it->last_sent);
  });
  order.resize(std::min(count, order.size()));
  std::vector<DataCentreSummary> found;
  for (Remote* it : order) {
    ++it->sends;
    it->last_sent = now;
    found.push_back(*Find(it->summary.data_centre, now));
  }
  return found;
}

std::optional<DataCentreSummary> RemoteDataCentres::Find(const DataCentreId& id,
                                                         TimePoint now) const {
  const auto it = remotes_.find(id);
  if (it == remotes_.end() || it->second.summary.data_centre.empty())
    return std::nullopt;
  DataCentreSummary summary = it->second.summary;
  summary.age = std::max(Duration::zero(), now - it->second.created_at);
  return summary;
}

}  // namespace briarlead
