#include <fmt/format.h>

#include <cstdio>

#include "briarlead/command_line.h"
#include "briarlead/commands.h"
#include "briarlead/exit_codes.h"
#include "briarlead/operator_client.h"
#include "briarlead/settings_file.h"

namespace briarlead {

int RunDrain(const Arguments& arguments) {
  CommandLine line(
      "drain",
      "Begins a planned stop of entry hosts: no new work, everything in\n"
      "progress is finished, then the process ends.",
      {{"host", "entry hosts' HTTP endpoints, ADDRESS:PORT,...", "", true},
       {"key-file", "file with the operator's bearer key", "", true}},
      "  briarlead drain --host 10.0.0.1:7100 --key-file operator.key\n");
  if (const auto exit_code = line.Parse(arguments))
    return *exit_code;
  const auto hosts = ReadEndpointList(line.Get("host"));
  const auto key = ReadKeyFile(line.Get("key-file"));
  if (!hosts || !key) {
    PrintError("drain", hosts ? key.error() : hosts.error());
    return kExitUsage;
  }
  OperatorClient client(key.value());
  for (const Endpoint& it : hosts.value()) {
    const Result<HttpResponse> answer = client.Ask(it, "POST", "/v1/drain");
    if (!answer || answer.value().status != 200) {
      fmt::print(stderr, "briarlead drain: {} did not accept it\n",
                 ToString(it));
      return kExitUnreachable;
    }
    fmt::print("{}: draining\n", ToString(it));
  }
  return kExitOk;
}

}  // namespace briarlead
