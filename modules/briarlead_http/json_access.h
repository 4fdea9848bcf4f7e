#ifndef BRIARLEAD_HTTP_JSON_ACCESS_H_
#define BRIARLEAD_HTTP_JSON_ACCESS_H_

// For the sources of this module and the fakes only: no other header may
// include nlohmann-json.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "briarlead_core/error.h"

namespace briarlead {

/// Parses one JSON object. Fails with kInvalidArgument for anything else, and
/// for nesting beyond what a request needs.
Result<nlohmann::json> ParseJsonObject(std::string_view text);

/// Returns the member called `name`, or nullptr.
const nlohmann::json* FindMember(const nlohmann::json& object,
                                 std::string_view name);

/// Returns the member of that type, or nullopt when it is missing or of
/// another type.
std::optional<std::string> StringMember(const nlohmann::json& object,
                                        std::string_view name);
std::optional<std::uint64_t> UnsignedMember(const nlohmann::json& object,
                                            std::string_view name);
std::optional<bool> BoolMember(const nlohmann::json& object,
                               std::string_view name);

/// Writes `json` in one line; bytes that are not UTF-8 are replaced.
template <typename Json>
std::string DumpJson(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_JSON_ACCESS_H_
