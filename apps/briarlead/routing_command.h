#ifndef BRIARLEAD_APP_ROUTING_COMMAND_H_
#define BRIARLEAD_APP_ROUTING_COMMAND_H_

#include <fmt/format.h>

#include <cstdio>
#include <functional>
#include <optional>
#include <string>

#include "briarlead/exit_codes.h"
#include "briarlead/role_loop.h"
#include "briarlead/settings_watcher.h"
#include "briarlead_core/logger.h"
#include "briarlead_settings/routing_settings.h"

namespace briarlead {

/// Returns the settings file that `named` gives, or the environment variable
/// BRIARLEAD_CONFIG where it is empty.
std::string SettingsPath(const std::string& named);

/// Reads the settings at `path`; prints what is wrong with them.
std::optional<RoutingSettings> ReadRoutingSettings(std::string_view command,
                                                   const std::string& path);

/// Runs a process of one role until it ends; returns its exit code. `make` gets
/// the settings, the logger and what ends the process.
template <typename Process, typename Make>
int RunRoutingRole(std::string_view command,
                   const std::string& path,
                   Make make) {
  const std::optional<RoutingSettings> settings =
      ReadRoutingSettings(command, path);
  if (!settings.has_value())
    return kExitFindings;
  Logger logger = Logger::ToStandardOutput(settings->log_level);
  RoleLoop loop;
  Process process =
      make(*settings, logger, [&loop](int code) { loop.End(code); });
  const Result<void> started = process.Start();
  if (!started) {
    fmt::print(stderr, "briarlead {}: {}\n", command, started.error().message);
    return kExitFailure;
  }
  SettingsWatcher watcher(path, [&] {
    const auto changed = ReadRoutingSettings(command, path);
    if (changed.has_value())
      process.Reload(*changed);
  });
  loop.OnHangUp([&] { watcher.Check(); });
  return loop.Run([&] { process.Stop(); });
}

}  // namespace briarlead

#endif  // BRIARLEAD_APP_ROUTING_COMMAND_H_
