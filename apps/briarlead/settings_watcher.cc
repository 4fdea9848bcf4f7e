#include "briarlead/settings_watcher.h"

#include <utility>

#include "briarlead/settings_file.h"
#include "briarlead_settings/settings_fields.h"

namespace briarlead {

namespace {

constexpr guint kCheckIntervalMs = 2000;

}  // namespace

SettingsWatcher::SettingsWatcher(std::string path, ChangeHandler on_change)
    : path_(std::move(path)),
      on_change_(std::move(on_change)),
      text_(ReadText()) {
  Wait();
}

void SettingsWatcher::Check() {
  std::string text = ReadText();
  // A file that can't be read at this moment is no change.
  if (text.empty() || text == text_)
    return;
  text_ = std::move(text);
  on_change_();
}

void SettingsWatcher::Wait() {
  timer_.StartTimer(kCheckIntervalMs, [this] {
    Check();
    Wait();
  });
}

std::string SettingsWatcher::ReadText() const {
  const Result<std::string> text = ReadWholeFile(path_, kMaxSettingsBytes);
  return text ? text.value() : std::string();
}

}  // namespace briarlead
