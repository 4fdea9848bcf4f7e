#ifndef BRIARLEAD_MEMBERSHIP_NEWS_QUEUE_H_
#define BRIARLEAD_MEMBERSHIP_NEWS_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <span>
#include <tuple>
#include <utility>
#include <vector>

namespace briarlead {

/// Names of what has changed and is still to be told to others. Each item goes
/// out with a limited number of messages; those sent least often go first.
template <typename Key>
class NewsQueue {
 public:
  /// Adds what this host found out itself: it also goes to every host at once.
  void AddOwn(const Key& key) {
    items_[key] = 0;
    if (std::ranges::find(unannounced_, key) == unannounced_.end())
      unannounced_.push_back(key);
  }

  /// Adds what another host told; it goes on with messages that are sent
  /// anyway.
  void AddHeard(const Key& key) { items_[key] = 0; }

  /// Returns at most `count` keys, those sent least often first.
  [[nodiscard]] std::vector<Key> InOrder(std::size_t count) const {
    std::vector<const Item*> order;
    for (const Item& it : items_)
      order.push_back(&it);
    const std::size_t n = std::min(count, order.size());
    std::ranges::partial_sort(
        order, order.begin() + static_cast<std::ptrdiff_t>(n), {},
        [](const Item* it) { return std::tie(it->second, it->first); });
    std::vector<Key> keys;
    for (std::size_t it = 0; it < n; ++it)
      keys.push_back(order[it]->first);
    return keys;
  }

  /// Counts one message that carried `key`; forgets it after `max_sends`.
  void CountSend(const Key& key, std::size_t max_sends) {
    const auto it = items_.find(key);
    if (it != items_.end() && ++it->second >= max_sends)
      items_.erase(it);
  }

  /// Returns what AddOwn() has added since the last call.
  std::vector<Key> TakeUnannounced() { return std::exchange(unannounced_, {}); }

  /// Puts back what could not be sent yet, at most `count` of it.
  void PutBack(std::span<const Key> keys, std::size_t count) {
    const auto kept = keys.first(std::min(count, keys.size()));
    unannounced_.insert(unannounced_.begin(), kept.begin(), kept.end());
  }

  [[nodiscard]] std::size_t size() const { return items_.size(); }

 private:
  using Item = std::pair<const Key, std::size_t>;

  std::map<Key, std::size_t> items_;  ///< Messages that carried each.
  std::vector<Key> unannounced_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_MEMBERSHIP_NEWS_QUEUE_H_
