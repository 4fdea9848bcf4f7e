#include "briarlead_state/subscriber_table.h"

#include <utility>

namespace briarlead {

SubscriberTable::SubscriberTable(std::vector<DataCentreId> data_centres)
    : data_centres_(std::move(data_centres)) {}

void SubscriberTable::Hear(PeerId peer,
                           const ListsHeartbeat& heartbeat,
                           TimePoint now) {
  Subscriber& subscriber = subscribers_[heartbeat.host];
  if (heartbeat.incarnation < subscriber.heartbeat.incarnation)
    return;
  const bool is_new_connection =
      subscriber.peer != peer ||
      subscriber.heartbeat.incarnation != heartbeat.incarnation;
  if (is_new_connection)
    subscriber.pushed_revision = 0;
  subscriber.heartbeat = heartbeat;
  subscriber.peer = peer;
  subscriber.last_heard = now;
}

void SubscriberTable::ForgetPeer(PeerId peer) {
  for (auto& [host, subscriber] : subscribers_) {
    if (subscriber.peer == peer)
      subscriber.peer = 0;
  }
}

void SubscriberTable::Expire(TimePoint now) {
  std::erase_if(subscribers_, [now](const auto& item) {
    return now - item.second.last_heard >= kHostMemory;
  });
}

std::vector<PeerId> SubscriberTable::TakeDue(std::uint64_t revision,
                                             TimePoint now) {
  std::vector<PeerId> due;
  for (auto& [host, it] : subscribers_) {
    const bool is_behind = it.heartbeat.revision < revision;
    const bool is_on_its_way =
        it.pushed_revision >= revision && now - it.pushed_at < kPushInterval;
    if (it.peer == 0 || !is_behind || is_on_its_way)
      continue;
    it.pushed_revision = revision;
    it.pushed_at = now;
    due.push_back(it.peer);
  }
  return due;
}

ReachReport SubscriberTable::Reach(std::uint64_t revision,
                                   TimePoint now) const {
  std::map<DataCentreId, DataCentreReach> reach;
  for (const DataCentreId& it : data_centres_)
    reach[it].data_centre = it;
  for (const auto& [host, subscriber] : subscribers_) {
    DataCentreReach& it = reach[subscriber.heartbeat.data_centre];
    it.data_centre = subscriber.heartbeat.data_centre;
    ++it.hosts_known;
    if (now - subscriber.last_heard >= kHostSilence)
      continue;
    ++it.hosts_heard;
    if (subscriber.heartbeat.revision >= revision)
      ++it.hosts_in_force;
  }
  ReachReport report;
  report.revision = revision;
  for (auto& [name, it] : reach) {
    it.reached = it.hosts_heard > 0 && it.hosts_in_force == it.hosts_heard;
    report.data_centres.push_back(it);
  }
  return report;
}

}  // namespace briarlead
