#include <fmt/format.h>

#include <cstdio>

#include "briarlead/command_line.h"
#include "briarlead/commands.h"
#include "briarlead/exit_codes.h"
#include "briarlead/operator_client.h"
#include "briarlead/settings_file.h"
#include "briarlead_json/briarlead_json.h"

namespace briarlead {

namespace {

/// Prints a JSON value for a person: members a line, lists indented.
void PrintValue(std::string_view name, const JsonValue& value, int indent) {
  switch (value.kind()) {
    case JsonKind::kObject: {
      std::string text;
      for (const JsonMember& it : value.members())
        text += fmt::format(" {}={}", it.key, ToJson(it.value));
      fmt::print("{:{}}-{}\n", "", indent, text);
      return;
    }
    case JsonKind::kArray:
      fmt::print("{:{}}{}:\n", "", indent, name);
      for (const JsonValue& it : value.items())
        PrintValue("", it, indent + 2);
      return;
    case JsonKind::kString:
      fmt::print("{:{}}{}: {}\n", "", indent, name, *value.AsString());
      return;
    default:
      fmt::print("{:{}}{}: {}\n", "", indent, name, ToJson(value));
  }
}

}  // namespace

int RunStatus(const Arguments& arguments) {
  CommandLine line(
      "status", "Prints what hosts know, one after the other.",
      {{"host", "entry or control hosts' HTTP endpoints, ADDRESS:PORT,...", "",
        true},
       {"key-file", "file with the operator's bearer key", "", true},
       {"json", "print the JSON documents, one a line", "", false, true}},
      "  briarlead status --host 10.0.0.1:7100 --key-file operator.key\n");
  if (const auto exit_code = line.Parse(arguments))
    return *exit_code;
  const auto hosts = ReadEndpointList(line.Get("host"));
  const auto key = ReadKeyFile(line.Get("key-file"));
  if (!hosts || !key) {
    PrintError("status", hosts ? key.error() : hosts.error());
    return kExitUsage;
  }
  OperatorClient client(key.value());
  int exit_code = kExitOk;
  for (const Endpoint& it : hosts.value()) {
    const Result<HttpResponse> answer = client.Ask(it, "GET", "/v1/status");
    if (!answer || answer.value().status != 200) {
      fmt::print(stderr, "briarlead status: {}\n",
                 answer ? ToString(it) + ": status " +
                              std::to_string(answer.value().status)
                        : answer.error().message);
      exit_code = kExitUnreachable;
      continue;
    }
    if (line.Has("json")) {
      fmt::print("{}\n", answer.value().body);
      continue;
    }
    const Result<JsonValue> document = ParseJson(answer.value().body);
    if (!document)
      continue;
    for (const JsonMember& member : document.value().members())
      PrintValue(member.key, member.value, 0);
  }
  return exit_code;
}

}  // namespace briarlead
