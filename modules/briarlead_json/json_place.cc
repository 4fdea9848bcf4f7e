#include "briarlead_json/json_place.h"

#include <fmt/format.h>

#include <algorithm>

#include "briarlead_json/json_writer.h"

namespace briarlead {

namespace {

constexpr std::size_t kMaxQuotedKeyBytes = 64;

bool IsPlainKeyByte(char byte) {
  return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
         (byte >= '0' && byte <= '9') || byte == '_' || byte == '-';
}

bool IsPlainKey(std::string_view key) {
  return !key.empty() && key.size() <= kMaxQuotedKeyBytes &&
         std::ranges::all_of(key, IsPlainKeyByte);
}

}  // namespace

JsonPlace JsonPlace::Member(std::string_view key) const {
  if (!IsPlainKey(key)) {
    const std::string quoted = QuoteJson(key.substr(0, kMaxQuotedKeyBytes));
    return {file, fmt::format("{}[{}]", path, quoted)};
  }
  if (path.empty())
    return {file, std::string(key)};
  return {file, fmt::format("{}.{}", path, key)};
}

JsonPlace JsonPlace::Item(std::size_t index) const {
  return {file, fmt::format("{}[{}]", path, index)};
}

}  // namespace briarlead
