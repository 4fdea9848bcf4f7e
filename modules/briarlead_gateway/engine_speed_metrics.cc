#include "briarlead_gateway/engine_speed_metrics.h"

#include <fmt/format.h>

#include <iterator>
#include <set>
#include <string_view>

namespace briarlead {

namespace {

/// Escapes `text` for a label value: engines choose their names.
std::string EscapeLabel(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '\\' || c == '"')
      escaped += '\\';
    escaped += c;
  }
  return escaped;
}

}  // namespace

std::string RenderEngineSpeeds(const EngineSpeeds& speeds) {
  std::string text;
  std::set<ServerIncarnation> rendered;
  speeds.ForEach([&](const ServerIncarnation& engine, SpeedKind kind,
                     double tokens_per_second) {
    if (rendered.size() >= kMaxRenderedEngines && !rendered.contains(engine))
      return;
    rendered.insert(engine);
    fmt::format_to(std::back_inserter(text),
                   "briarlead_engine_speed{{engine=\"{}\",kind=\"{}\"}} {}\n",
                   EscapeLabel(engine.id.value()), ToString(kind),
                   tokens_per_second);
  });
  if (text.empty())
    return text;
  return "# HELP briarlead_engine_speed Learnt speed, in tokens per second.\n"
         "# TYPE briarlead_engine_speed gauge\n" +
         text;
}

}  // namespace briarlead
