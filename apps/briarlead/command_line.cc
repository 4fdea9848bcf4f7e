#include "briarlead/command_line.h"

#include <fmt/format.h>

#include <cstdio>
#include <cxxopts.hpp>
#include <exception>

#include "briarlead/exit_codes.h"

namespace briarlead {

CommandLine::CommandLine(std::string_view command,
                         std::string_view summary,
                         std::initializer_list<OptionSpec> options,
                         std::string_view example)
    : command_(command),
      summary_(summary),
      options_(options),
      example_(example) {}

std::optional<int> CommandLine::Parse(
    const std::vector<std::string>& arguments) {
  cxxopts::Options parser("briarlead " + command_, summary_);
  parser.add_options()("help", "print this help");
  for (const OptionSpec& it : options_) {
    if (it.is_flag)
      parser.add_options()(it.name, it.help);
    else
      parser.add_options()(it.name, it.help, cxxopts::value<std::string>(),
                           "VALUE");
  }
  std::vector<const char*> argv = {"briarlead"};
  for (const std::string& it : arguments)
    argv.push_back(it.c_str());
  try {
    const cxxopts::ParseResult parsed =
        parser.parse(static_cast<int>(argv.size()), argv.data());
    if (parsed.count("help") > 0) {
      fmt::print("{}\nExample:\n{}", parser.help(), example_);
      return kExitOk;
    }
    if (!parsed.unmatched().empty()) {
      fmt::print(stderr, "briarlead {}: unexpected argument \"{}\"\n", command_,
                 parsed.unmatched().front());
      return kExitUsage;
    }
    for (const OptionSpec& it : options_) {
      if (parsed.count(it.name) > 0)
        values_[it.name] = it.is_flag ? "" : parsed[it.name].as<std::string>();
    }
  } catch (const std::exception& error) {
    fmt::print(stderr, "briarlead {}: {}\n", command_, error.what());
    return kExitUsage;
  }
  for (const OptionSpec& it : options_) {
    if (it.required && !values_.contains(it.name)) {
      fmt::print(stderr, "briarlead {}: --{} is needed (see --help)\n",
                 command_, it.name);
      return kExitUsage;
    }
  }
  return std::nullopt;
}

const std::string& CommandLine::Get(std::string_view name) const {
  static const std::string kNone;
  const auto it = values_.find(name);
  if (it != values_.end())
    return it->second;
  for (const OptionSpec& option : options_) {
    if (option.name == name)
      return option.default_value;
  }
  return kNone;
}

bool CommandLine::Has(std::string_view name) const {
  return values_.find(name) != values_.end();
}

}  // namespace briarlead
