#include "briarlead_state/subscriber_table.h"

#include <utility>

namespace briarlead {

SubscriberTable::SubscriberTable(std::vector<DataCentreId> data_centres)
    : data_centres_(std::move(data_centres)) {}

void SubscriberTable::OnHeartbeat(PeerId peer,
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

void SubscriberTable::OnPeerDisconnected(PeerId peer) {
  for (auto& [host, subscriber] : subscribers_) {
    if (subscriber.peer == peer)
      subscriber.peer = 0;
  }
}

void SubscriberTable::Expire(TimePoint now) {
  std::erase_if(subscribers_, [now](const auto& item) {
    return now - item.second.last_heard >= kHostRetention;
  });
}

std::vector<PeerId> SubscriberTable::TakeDuePushes(std::uint64_t revision,
                                                   TimePoint now) {
  std::vector<PeerId> due;
  for (auto& [host, subscriber] : subscribers_) {
    const bool is_behind = subscriber.heartbeat.revision < revision;
    const bool is_in_flight = subscriber.pushed_revision >= revision &&
                              now - subscriber.pushed_at < kPushRetryInterval;
    if (subscriber.peer == 0 || !is_behind || is_in_flight)
      continue;
    subscriber.pushed_revision = revision;
    subscriber.pushed_at = now;
    due.push_back(subscriber.peer);
  }
  return due;
}

ReachReport SubscriberTable::Reach(std::uint64_t revision,
                                   TimePoint now) const {
  std::map<DataCentreId, DataCentreReach> reach;
  for (const DataCentreId& id : data_centres_)
    reach[id].data_centre = id;
  for (const auto& [host, subscriber] : subscribers_) {
    DataCentreReach& entry = reach[subscriber.heartbeat.data_centre];
    entry.data_centre = subscriber.heartbeat.data_centre;
    ++entry.hosts_known;
    if (now - subscriber.last_heard >= kSilenceTimeout)
      continue;
    ++entry.hosts_heard;
    if (subscriber.heartbeat.revision >= revision)
      ++entry.hosts_in_force;
  }
  ReachReport report;
  report.revision = revision;
  for (auto& [id, entry] : reach) {
    entry.reached =
        entry.hosts_heard > 0 && entry.hosts_in_force == entry.hosts_heard;
    report.data_centres.push_back(entry);
  }
  return report;
}

}  // namespace briarlead
