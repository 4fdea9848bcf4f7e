#ifndef BRIARLEAD_APP_ROLE_LOOP_H_
#define BRIARLEAD_APP_ROLE_LOOP_H_

#include <glib.h>

#include <functional>

namespace briarlead {

/// The GLib loop of one role. SIGTERM and SIGINT begin a planned stop.
class RoleLoop {
 public:
  RoleLoop();
  ~RoleLoop();
  RoleLoop(const RoleLoop&) = delete;
  RoleLoop& operator=(const RoleLoop&) = delete;

  /// Runs until End(); calls `on_stop` for each signal. Returns the exit code.
  int Run(std::function<void()> on_stop);

  /// Calls `on_reload` for each SIGHUP, which else ends the process.
  void OnHangUp(std::function<void()> on_reload);

  /// Ends the loop with `exit_code`.
  void End(int exit_code);

 private:
  static gboolean OnSignal(gpointer data);
  static gboolean OnHangUpSignal(gpointer data);

  GMainLoop* loop_;
  std::function<void()> on_stop_;
  std::function<void()> on_reload_;
  guint sigterm_source_ = 0;
  guint sigint_source_ = 0;
  guint sighup_source_ = 0;
  int exit_code_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_APP_ROLE_LOOP_H_
