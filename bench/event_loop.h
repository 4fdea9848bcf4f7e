#ifndef BENCH_EVENT_LOOP_H_
#define BENCH_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "briarlead_core/time.h"

namespace briarlead::bench {

/// Runs actions in order of virtual time; those of one time in the order in
/// which they were added.
class EventLoop {
 public:
  using Action = std::function<void()>;

  [[nodiscard]] TimePoint now() const { return now_; }

  /// Runs `action` at `when`, or at the present time if that is later.
  void At(TimePoint when, Action action) {
    queue_.push({std::max(when, now_), ++last_number_, std::move(action)});
  }
  void After(Duration delay, Action action) {
    At(now_ + delay, std::move(action));
  }

  /// Runs everything up to `end`.
  void RunUntil(TimePoint end) {
    while (!queue_.empty() && queue_.top().when <= end) {
      const Action action = std::move(const_cast<Event&>(queue_.top()).action);
      now_ = queue_.top().when;
      queue_.pop();
      action();
    }
    now_ = end;
  }

 private:
  struct Event {
    TimePoint when;
    std::uint64_t number = 0;
    Action action;
    friend bool operator<(const Event& a, const Event& b) {
      return a.when != b.when ? a.when > b.when : a.number > b.number;
    }
  };

  std::priority_queue<Event> queue_;
  TimePoint now_;
  std::uint64_t last_number_ = 0;
};

}  // namespace briarlead::bench

#endif  // BENCH_EVENT_LOOP_H_
