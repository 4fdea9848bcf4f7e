#ifndef BRIARLEAD_JSON_JSON_PARSER_H_
#define BRIARLEAD_JSON_JSON_PARSER_H_

#include <cstddef>
#include <optional>
#include <string_view>

#include "briarlead_core/error.h"
#include "briarlead_core/findings.h"
#include "briarlead_json/json_value.h"

namespace briarlead {

/// Bounds of one document; whatever goes beyond them is refused.
struct JsonLimits {
  std::size_t max_bytes = 4'194'304;
  std::size_t max_depth = 32;        ///< Arrays and objects within each other.
  std::size_t max_values = 250'000;  ///< Values of all kinds.
  bool allow_comments = true;        ///< Accept // and /* */ comments.
};

/// Reads `text`. Adds a finding under `file` for each duplicate key, and one
/// for a syntax error or a limit, with line and column in its message.
/// @returns the document, or nullopt when anything was found.
std::optional<JsonValue> ParseJson(std::string_view file,
                                   std::string_view text,
                                   const JsonLimits& limits,
                                   Findings& findings);

/// Reads a document that came over the network: no comments, and the first
/// fault as the error (kInvalidArgument, or kTooLarge beyond a limit).
Result<JsonValue> ParseJson(std::string_view text, JsonLimits limits = {});

}  // namespace briarlead

#endif  // BRIARLEAD_JSON_JSON_PARSER_H_
