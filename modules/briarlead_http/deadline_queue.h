#ifndef BRIARLEAD_HTTP_DEADLINE_QUEUE_H_
#define BRIARLEAD_HTTP_DEADLINE_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>

#include "briarlead_core/time.h"
#include "briarlead_http/gobject_ptr.h"

namespace briarlead {

/// Is told when its deadline has passed.
class DeadlineListener {
 public:
  virtual ~DeadlineListener() = default;
  virtual void OnDeadline() = 0;
};

/// Many deadlines behind one source of the main context.
class DeadlineQueue {
 private:
  using Queue = std::multimap<std::int64_t, DeadlineListener*>;

 public:
  /// One deadline in the queue; empty when it isn't in it.
  using Ticket = std::optional<Queue::iterator>;

  DeadlineQueue();
  DeadlineQueue(const DeadlineQueue&) = delete;
  DeadlineQueue& operator=(const DeadlineQueue&) = delete;

  /// Calls `listener` once, `delay` from now, unless removed before. `ticket`
  /// is emptied first; it must outlive its stay in the queue.
  void Set(Ticket& ticket, Duration delay, DeadlineListener* listener);

  /// Takes the deadline off the queue, if it is there. The listener empties
  /// its own ticket by this in OnDeadline() too.
  void Remove(Ticket& ticket);

 private:
  void Arm();
  void Dispatch();

  Queue queue_;
  GSourcePtr source_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_DEADLINE_QUEUE_H_
