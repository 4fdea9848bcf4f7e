#include <fmt/format.h>

#include <array>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

#include "briarlead/commands.h"
#include "briarlead/exit_codes.h"

namespace briarlead {

namespace {

struct Command {
  std::string_view name;
  std::string_view summary;
  int (*run)(const Arguments& arguments);
};

int RunVersion(const Arguments&) {
  fmt::print("briarlead {}\n", BRIARLEAD_VERSION);
  return kExitOk;
}

constexpr std::array<Command, 9> kCommands = {{
    {"entry", "serve callers on an entry host", RunEntry},
    {"control", "run a replica of the agreed state", RunControl},
    {"gateway", "serve a list of routes on an entry host", RunGateway},
    {"registry", "keep the list of routes on a control host", RunRegistry},
    {"apply", "change the lists", RunApply},
    {"check", "check settings and lists, start nothing", RunCheck},
    {"status", "print what a host knows", RunStatus},
    {"drain", "begin a planned stop of an entry host", RunDrain},
    {"version", "print the version", RunVersion},
}};

void PrintUsage(FILE* stream) {
  fmt::print(stream, "usage: briarlead COMMAND [OPTIONS]\n\n");
  for (const Command& it : kCommands)
    fmt::print(stream, "  {:8} {}\n", it.name, it.summary);
  fmt::print(stream, "\nbriarlead COMMAND --help tells more.\n");
}

int Main(const std::vector<std::string>& words) {
  if (words.empty()) {
    PrintUsage(stderr);
    return kExitUsage;
  }
  if (words[0] == "--help" || words[0] == "help") {
    PrintUsage(stdout);
    return kExitOk;
  }
  for (const Command& it : kCommands) {
    if (it.name == words[0])
      return it.run(Arguments(words.begin() + 1, words.end()));
  }
  fmt::print(stderr, "briarlead: no command \"{}\" (see briarlead --help)\n",
             words[0]);
  return kExitUsage;
}

}  // namespace

}  // namespace briarlead

int main(int argc, char** argv) {
  return briarlead::Main(std::vector<std::string>(argv + 1, argv + argc));
}
