#ifndef BRIARLEAD_APP_COMMAND_LINE_H_
#define BRIARLEAD_APP_COMMAND_LINE_H_

#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarlead {

/// One option of a command, given as --name VALUE.
struct OptionSpec {
  std::string name;
  std::string help;
  std::string default_value;  ///< Used when the option is not given.
  bool required = false;
  bool is_flag = false;  ///< Takes no value.
};

/// The options of one command and their help.
class CommandLine {
 public:
  /// @param example lines that stand below the help
  CommandLine(std::string_view command,
              std::string_view summary,
              std::initializer_list<OptionSpec> options,
              std::string_view example);

  /// Reads the arguments after the command. Returns the exit code to end with
  /// when the help was printed or an argument is wrong (one line on standard
  /// error); nullopt to go on.
  std::optional<int> Parse(const std::vector<std::string>& arguments);

  /// Returns the value of an option, or its default.
  [[nodiscard]] const std::string& Get(std::string_view name) const;

  /// Returns whether a flag was given.
  [[nodiscard]] bool Has(std::string_view name) const;

 private:
  std::string command_;
  std::string summary_;
  std::vector<OptionSpec> options_;
  std::string example_;
  std::map<std::string, std::string, std::less<>> values_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_APP_COMMAND_LINE_H_
