#include "briarlead/command_line.h"
#include "briarlead/commands.h"
#include "briarlead/routing_command.h"
#include "briarlead_gateway/briarlead_gateway.h"
#include "platform/platform.h"

namespace briarlead {

namespace {

RequestCodec PlatformCodec() {
  RequestCodec codec;
  codec.read_request = platform::ReadRequest;
  codec.write_request = platform::WriteRequest;
  codec.read_response = platform::ReadResponse;
  codec.match_response = platform::MatchResponse;
  codec.read_prefill_result = platform::ReadPrefillResult;
  codec.read_routes = platform::ReadRouteList;
  return codec;
}

}  // namespace

int RunGateway(const Arguments& arguments) {
  CommandLine line(
      "gateway", "Serves a list of routes on an entry host.",
      {{"settings", "settings file, JSON with comments", "", false}},
      "  briarlead gateway --settings /etc/briarlead/gateway.json\n");
  if (const auto exit_code = line.Parse(arguments))
    return *exit_code;
  return RunRoutingRole<GatewayProcess>(
      "gateway", SettingsPath(line.Get("settings")),
      [](const RoutingSettings& settings, Logger& logger, auto on_end) {
        return GatewayProcess(settings, PlatformCodec(), logger, on_end);
      });
}

}  // namespace briarlead
