#include "briarlead/command_line.h"
#include "briarlead/commands.h"
#include "briarlead/routing_command.h"
#include "briarlead_registry/briarlead_registry.h"
#include "platform/platform.h"

namespace briarlead {

int RunRegistry(const Arguments& arguments) {
  CommandLine line(
      "registry", "Keeps the list of routes on a control host.",
      {{"settings", "settings file, JSON with comments", "", false}},
      "  briarlead registry --settings /etc/briarlead/registry.json\n");
  if (const auto exit_code = line.Parse(arguments))
    return *exit_code;
  return RunRoutingRole<RegistryProcess>(
      "registry", SettingsPath(line.Get("settings")),
      [](const RoutingSettings& settings, Logger& logger, auto on_end) {
        return RegistryProcess(settings, platform::ReadControlCall,
                               platform::ReadRouteList, logger, on_end);
      });
}

}  // namespace briarlead
