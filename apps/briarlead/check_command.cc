#include <fmt/format.h>

#include <cstdio>

#include "briarlead/command_line.h"
#include "briarlead/commands.h"
#include "briarlead/exit_codes.h"
#include "briarlead/settings_file.h"
#include "briarlead_lists/briarlead_lists.h"
#include "briarlead_settings/briarlead_settings.h"
#include "platform/route_list_codec.h"

namespace briarlead {

namespace {

/// Reads the file of `option` into `text`; false when it can't be read.
bool ReadOption(const CommandLine& line,
                std::string_view option,
                std::string& text) {
  const Result<std::string> read =
      ReadWholeFile(line.Get(option), kMaxListBytes);
  if (!read) {
    PrintError("check", read.error());
    return false;
  }
  text = read.value();
  return true;
}

}  // namespace

int RunCheck(const Arguments& arguments) {
  CommandLine line("check", "Checks settings and lists; starts nothing.",
                   {{"entry", "settings file of an entry host", ""},
                    {"control", "settings file of a control host", ""},
                    {"routing", "settings file of a gateway or registry", ""},
                    {"routes", "list of routes, as an operator sends it", ""},
                    {"customers", "list of customers", ""},
                    {"plans", "list of plans", ""}},
                   "  briarlead check --entry entry.json\n"
                   "  briarlead check --routing gateway.json --routes "
                   "routes.json\n"
                   "  briarlead check --customers customers.json --plans "
                   "plans.json\n");
  if (const auto exit_code = line.Parse(arguments))
    return *exit_code;
  if (line.Has("customers") != line.Has("plans")) {
    fmt::print(stderr,
               "briarlead check: the lists are checked together, "
               "--customers and --plans\n");
    return kExitUsage;
  }
  Findings findings;
  std::string text;
  if (line.Has("entry")) {
    if (!ReadOption(line, "entry", text))
      return kExitFailure;
    static_cast<void>(ParseEntrySettings(line.Get("entry"), text, findings));
  }
  if (line.Has("control")) {
    if (!ReadOption(line, "control", text))
      return kExitFailure;
    static_cast<void>(
        ParseControlSettings(line.Get("control"), text, findings));
  }
  if (line.Has("routing")) {
    if (!ReadOption(line, "routing", text))
      return kExitFailure;
    static_cast<void>(
        ParseRoutingSettings(line.Get("routing"), text, findings));
  }
  if (line.Has("routes")) {
    if (!ReadOption(line, "routes", text))
      return kExitFailure;
    static_cast<void>(platform::ReadRouteList(text, findings));
  }
  if (line.Has("customers")) {
    std::string plans;
    if (!ReadOption(line, "customers", text) ||
        !ReadOption(line, "plans", plans)) {
      return kExitFailure;
    }
    static_cast<void>(ParseLists(text, plans, findings,
                                 {line.Get("customers"), line.Get("plans")}));
  }
  if (!findings.empty()) {
    fmt::print(stderr, "{}", findings.Format());
    return kExitFindings;
  }
  fmt::print("no findings\n");
  return kExitOk;
}

}  // namespace briarlead
