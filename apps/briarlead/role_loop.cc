#include "briarlead/role_loop.h"

#include <glib-unix.h>

#include <csignal>
#include <utility>

namespace briarlead {

RoleLoop::RoleLoop() : loop_(g_main_loop_new(nullptr, FALSE)) {
  // A peer that closes its socket must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  sigterm_source_ = g_unix_signal_add(SIGTERM, &RoleLoop::OnSignal, this);
  sigint_source_ = g_unix_signal_add(SIGINT, &RoleLoop::OnSignal, this);
}

RoleLoop::~RoleLoop() {
  g_source_remove(sigterm_source_);
  g_source_remove(sigint_source_);
  if (sighup_source_ != 0)
    g_source_remove(sighup_source_);
  g_main_loop_unref(loop_);
}

int RoleLoop::Run(std::function<void()> on_stop) {
  on_stop_ = std::move(on_stop);
  g_main_loop_run(loop_);
  return exit_code_;
}

void RoleLoop::End(int exit_code) {
  exit_code_ = exit_code;
  g_main_loop_quit(loop_);
}

void RoleLoop::OnHangUp(std::function<void()> on_reload) {
  on_reload_ = std::move(on_reload);
  sighup_source_ = g_unix_signal_add(SIGHUP, &RoleLoop::OnHangUpSignal, this);
}

gboolean RoleLoop::OnHangUpSignal(gpointer data) {
  static_cast<RoleLoop*>(data)->on_reload_();
  return G_SOURCE_CONTINUE;
}

gboolean RoleLoop::OnSignal(gpointer data) {
  const auto* loop = static_cast<RoleLoop*>(data);
  if (loop->on_stop_)
    loop->on_stop_();
  return G_SOURCE_CONTINUE;
}

}  // namespace briarlead
