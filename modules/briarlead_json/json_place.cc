#include "briarlead_json/json_place.h"

#include <fmt/format.h>

#include <algorithm>

#include "briarlead_json/json_writer.h"

namespace briarlead {

namespace {

constexpr std::size_t kMaxShownKeyBytes = 64;

bool IsWordByte(char byte) {
  return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
         (byte >= '0' && byte <= '9') || byte == '_' || byte == '-';
}

bool IsPlainWord(std::string_view key) {
  return !key.empty() && key.size() <= kMaxShownKeyBytes &&
         std::ranges::all_of(key, IsWordByte);
}

}  // namespace

JsonPlace JsonPlace::Member(std::string_view key) const {
  if (!IsPlainWord(key)) {
    const std::string quoted = QuoteJson(key.substr(0, kMaxShownKeyBytes));
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
