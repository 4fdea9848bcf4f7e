#ifndef BRIARLEAD_APP_SETTINGS_WATCHER_H_
#define BRIARLEAD_APP_SETTINGS_WATCHER_H_

#include <functional>
#include <string>

#include "briarlead_net/glib_handles.h"

namespace briarlead {

/// Tells when the text of a settings file has changed: the file is read again
/// every two seconds, since not every change is signalled.
class SettingsWatcher {
 public:
  using ChangeHandler = std::function<void()>;

  SettingsWatcher(std::string path, ChangeHandler on_change);

  /// Reads the file now.
  void Check();

 private:
  void Wait();
  [[nodiscard]] std::string ReadText() const;

  std::string path_;
  ChangeHandler on_change_;
  std::string text_;
  SourceHandle timer_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_APP_SETTINGS_WATCHER_H_
