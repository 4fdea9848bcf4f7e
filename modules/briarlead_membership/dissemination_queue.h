#ifndef BRIARLEAD_MEMBERSHIP_DISSEMINATION_QUEUE_H_
#define BRIARLEAD_MEMBERSHIP_DISSEMINATION_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <span>
#include <tuple>
#include <utility>
#include <vector>

namespace briarlead {

/// Keys of the entries whose changes are still to be disseminated to other
/// hosts. Each key is piggybacked on a limited number of messages; the keys
/// sent least often go first.
template <typename Key>
class DisseminationQueue {
 public:
  /// Adds a change that this host detected itself. It is also queued for a
  /// broadcast to every host.
  void AddLocal(const Key& key) {
    items_[key] = 0;
    if (std::ranges::find(pending_broadcasts_, key) ==
        pending_broadcasts_.end())
      pending_broadcasts_.push_back(key);
  }

  /// Adds a change learned from another host. It is only piggybacked on
  /// messages that are sent anyway.
  void AddRemote(const Key& key) { items_[key] = 0; }

  /// Returns at most `count` keys, those sent least often first.
  [[nodiscard]] std::vector<Key> LeastSent(std::size_t count) const {
    std::vector<const Item*> order;
    for (const Item& it : items_)
      order.push_back(&it);
    const std::size_t n = std::min(count, order.size());
    std::ranges::partial_sort(
        order, order.begin() + static_cast<std::ptrdiff_t>(n), {},
        [](const Item* it) { return std::tie(it->second, it->first); });
    std::vector<Key> keys;
    for (std::size_t i = 0; i < n; ++i)
      keys.push_back(order[i]->first);
    return keys;
  }

  /// Counts one message that carried `key`; removes `key` after `max_sends`.
  void RecordSend(const Key& key, std::size_t max_sends) {
    const auto it = items_.find(key);
    if (it != items_.end() && ++it->second >= max_sends)
      items_.erase(it);
  }

  /// Returns the keys that wait for a broadcast and clears their list.
  std::vector<Key> TakePendingBroadcasts() {
    return std::exchange(pending_broadcasts_, {});
  }

  /// Puts the first `count` of the keys that could not be broadcast yet back
  /// to the front of the list.
  void PutBack(std::span<const Key> keys, std::size_t count) {
    const auto kept = keys.first(std::min(count, keys.size()));
    pending_broadcasts_.insert(pending_broadcasts_.begin(), kept.begin(),
                               kept.end());
  }

  [[nodiscard]] std::size_t size() const { return items_.size(); }

 private:
  using Item = std::pair<const Key, std::size_t>;

  std::map<Key, std::size_t> items_;  ///< Messages sent per key.
  std::vector<Key> pending_broadcasts_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_MEMBERSHIP_DISSEMINATION_QUEUE_H_
