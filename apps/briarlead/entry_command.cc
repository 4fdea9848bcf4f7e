#include <fmt/format.h>

#include <cstdio>

#include "briarlead/command_line.h"
#include "briarlead/commands.h"
#include "briarlead/exit_codes.h"
#include "briarlead/role_loop.h"
#include "briarlead/settings_file.h"
#include "briarlead_entry/briarlead_entry.h"
#include "briarlead_settings/settings_fields.h"

namespace briarlead {

int RunEntry(const Arguments& arguments) {
  CommandLine line(
      "entry", "Serves callers on an entry host.",
      {{"settings", "settings file, JSON with comments", "", true}},
      "  briarlead entry --settings /etc/briarlead/entry.json\n");
  if (const auto exit_code = line.Parse(arguments))
    return *exit_code;
  const std::string& path = line.Get("settings");
  const Result<std::string> text = ReadWholeFile(path, kMaxSettingsBytes);
  if (!text) {
    PrintError("entry", text.error());
    return kExitFailure;
  }
  Findings findings;
  const auto settings = ParseEntrySettings(path, text.value(), findings);
  if (!settings.has_value()) {
    fmt::print(stderr, "{}", findings.Format());
    return kExitFindings;
  }
  Logger logger = Logger::ToStandardError(settings->log_level);
  RoleLoop loop;
  EntryProcess process(*settings, logger, [&](int code) { loop.End(code); });
  const Result<void> started = process.Start();
  if (!started) {
    PrintError("entry", started.error());
    return kExitFailure;
  }
  return loop.Run([&] { process.Stop(); });
}

}  // namespace briarlead
