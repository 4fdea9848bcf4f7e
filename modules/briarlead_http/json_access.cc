#include "briarlead_http/json_access.h"

namespace briarlead {

namespace {

constexpr int kMaxDepth = 32;

}  // namespace

Result<nlohmann::json> ParseJsonObject(std::string_view text) {
  bool too_deep = false;
  const auto limit_depth = [&too_deep](int depth,
                                       nlohmann::json::parse_event_t /*event*/,
                                       nlohmann::json& /*parsed*/) {
    too_deep = too_deep || depth > kMaxDepth;
    return !too_deep;
  };
  nlohmann::json json = nlohmann::json::parse(text, limit_depth, false);
  if (too_deep)
    return Fail(ErrorCode::kInvalidArgument, "JSON is nested too deeply");
  if (json.is_discarded())
    return Fail(ErrorCode::kInvalidArgument, "not valid JSON");
  if (!json.is_object())
    return Fail(ErrorCode::kInvalidArgument, "expected a JSON object");
  return json;
}

const nlohmann::json* FindMember(const nlohmann::json& object,
                                 std::string_view name) {
  const auto it = object.find(name);
  return it == object.end() ? nullptr : &*it;
}

std::optional<std::string> StringMember(const nlohmann::json& object,
                                        std::string_view name) {
  const nlohmann::json* member = FindMember(object, name);
  if (member == nullptr || !member->is_string())
    return std::nullopt;
  return member->get<std::string>();
}

std::optional<std::uint64_t> UnsignedMember(const nlohmann::json& object,
                                            std::string_view name) {
  const nlohmann::json* member = FindMember(object, name);
  if (member == nullptr || !member->is_number_unsigned())
    return std::nullopt;
  return member->get<std::uint64_t>();
}

std::optional<bool> BoolMember(const nlohmann::json& object,
                               std::string_view name) {
  const nlohmann::json* member = FindMember(object, name);
  if (member == nullptr || !member->is_boolean())
    return std::nullopt;
  return member->get<bool>();
}

}  // namespace briarlead
