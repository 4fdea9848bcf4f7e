#include "briarlead_http/deadline_queue.h"

namespace briarlead {

namespace {

GSourceFuncs* ReadyTimeFunctions() {
  static GSourceFuncs functions = {
      .prepare = nullptr,
      .check = nullptr,
      .dispatch = [](GSource*, GSourceFunc callback,
                     gpointer data) { return callback(data); },
      .finalize = nullptr,
  };
  return &functions;
}

}  // namespace

DeadlineQueue::DeadlineQueue()
    : source_(g_source_new(ReadyTimeFunctions(), sizeof(GSource))) {
  const GSourceFunc dispatch = [](gpointer self) {
    static_cast<DeadlineQueue*>(self)->Dispatch();
    return static_cast<gboolean>(G_SOURCE_CONTINUE);
  };
  g_source_set_callback(source_.get(), dispatch, this, nullptr);
  g_source_attach(source_.get(), nullptr);
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
