#include "briarlead/routing_command.h"

#include <cstdlib>

#include "briarlead/settings_file.h"
#include "briarlead_settings/settings_fields.h"

namespace briarlead {

std::string SettingsPath(const std::string& named) {
  if (!named.empty())
    return named;
  const char* path = std::getenv("BRIARLEAD_CONFIG");
  return path == nullptr ? std::string() : std::string(path);
}

std::optional<RoutingSettings> ReadRoutingSettings(std::string_view command,
                                                   const std::string& path) {
  const Result<std::string> text = ReadWholeFile(path, kMaxSettingsBytes);
  if (!text) {
    PrintError(command, text.error());
    return std::nullopt;
  }
  Findings findings;
  auto settings = ParseRoutingSettings(path, text.value(), findings);
  if (!settings.has_value())
    fmt::print(stderr, "{}", findings.Format());
  return settings;
}

}  // namespace briarlead
