#ifndef BRIARLEAD_JSON_JSON_PARSER_H_
#define BRIARLEAD_JSON_JSON_PARSER_H_

#include <cstddef>
#include <optional>
#include <string_view>

#include "briarlead_core/error.h"
#include "briarlead_core/findings.h"
#include "briarlead_json/json_value.h"

namespace briarlead {

/// Limits of one document. A document that exceeds one of them is rejected.
struct JsonLimits {
  std::size_t max_bytes = 4'194'304;
  std::size_t max_depth = 32;        ///< Nesting depth of arrays and objects.
  std::size_t max_values = 250'000;  ///< Number of values of all kinds.
  bool allow_comments = true;        ///< Accepts // and /* */ comments.
};

/// Parses `text`. Adds a finding under the name `file` for each duplicate key
/// (up to 100 of them), and one for a syntax error, whose message has the line
/// and column, or for an exceeded limit.
/// @returns the document, or nullopt when there was any finding.
std::optional<JsonValue> ParseJson(std::string_view file,
                                   std::string_view text,
                                   const JsonLimits& limits,
                                   Findings& findings);

/// Parses a document that was received over the network. Comments are a syntax
/// error. Fails with the first finding as the message and the code kTooLarge
/// for an exceeded limit, else kInvalidArgument.
Result<JsonValue> ParseJson(std::string_view text, JsonLimits limits = {});

}  // namespace briarlead

#endif  // BRIARLEAD_JSON_JSON_PARSER_H_
