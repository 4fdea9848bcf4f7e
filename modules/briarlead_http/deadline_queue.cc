#include "briarlead_http/deadline_queue.h"

#include "briarlead_http/ready_time_source.h"

namespace briarlead {

DeadlineQueue::DeadlineQueue() {
  const GSourceFunc dispatch = [](gpointer self) {
    static_cast<DeadlineQueue*>(self)->Dispatch();
    return static_cast<gboolean>(G_SOURCE_CONTINUE);
  };
  source_ = MakeReadyTimeSource(dispatch, this);
}

void DeadlineQueue::Set(Ticket& ticket,
                        Duration delay,
                        DeadlineListener* listener) {
  Remove(ticket);
  ticket = queue_.emplace(g_get_monotonic_time() + delay.count(), listener);
  Arm();
}

void DeadlineQueue::Remove(Ticket& ticket) {
  if (!ticket)
    return;
  queue_.erase(*ticket);
  ticket.reset();
}

void DeadlineQueue::Arm() {
  g_source_set_ready_time(source_.get(),
                          queue_.empty() ? -1 : queue_.begin()->first);
}

void DeadlineQueue::Dispatch() {
  const std::int64_t now = g_get_monotonic_time();
  while (!queue_.empty() && queue_.begin()->first <= now)
    queue_.begin()->second->OnDeadline();
  Arm();
}

}  // namespace briarlead
