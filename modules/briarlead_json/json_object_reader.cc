#include "briarlead_json/json_object_reader.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <utility>

#include "briarlead_json/json_writer.h"

namespace briarlead {

namespace {

constexpr std::size_t kMaxQuotedValueBytes = 64;

bool IsNameByte(char byte) {
  return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
         (byte >= '0' && byte <= '9') ||
         std::string_view("-_.:/").find(byte) != std::string_view::npos;
}

std::string QuoteTruncated(std::string_view text) {
  return QuoteJson(text.substr(0, kMaxQuotedValueBytes));
}

std::string DescribeRange(IntegerRange range) {
  return fmt::format("a whole number from {} to {}", range.low, range.high);
}

}  // namespace

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= JsonObjectReader::kMaxNameBytes &&
         std::ranges::all_of(text, IsNameByte);
}

JsonObjectReader::JsonObjectReader(const JsonValue& value,
                                   JsonPlace place,
                                   Findings& findings)
    : value_(value), place_(std::move(place)), findings_(findings) {
  if (value_.kind() == JsonKind::kObject)
    return;
  findings_.Add(
      place_.file, place_.path,
      fmt::format("expected an object, found {}", ToString(value_.kind())));
}

bool JsonObjectReader::Has(std::string_view key) {
  return Get(key) != nullptr;
}

const JsonValue* JsonObjectReader::Get(std::string_view key) {
  if (std::ranges::find(known_keys_, key) == known_keys_.end())
    known_keys_.emplace_back(key);
  return value_.Find(key);
}

const JsonValue* JsonObjectReader::Require(std::string_view key,
                                           std::string_view expected) {
  const JsonValue* value = Get(key);
  if (value == nullptr && value_.kind() == JsonKind::kObject)
    AddFinding(key, fmt::format("missing key; expected {}", expected));
  return value;
}

void JsonObjectReader::AddWrongType(std::string_view key,
                                    std::string_view expected,
                                    const JsonValue& found) {
  AddFinding(key, fmt::format("expected {}, found {}", expected,
                              ToString(found.kind())));
}

void JsonObjectReader::AddFinding(std::string message) {
  findings_.Add(place_.file, place_.path, std::move(message));
}

void JsonObjectReader::AddFinding(std::string_view key, std::string message) {
  const JsonPlace place = PlaceOf(key);
  findings_.Add(place.file, place.path, std::move(message));
}

std::string JsonObjectReader::String(std::string_view key, SizeRange bytes) {
  const std::string expected =
      fmt::format("a string of {} to {} bytes", bytes.low, bytes.high);
  const JsonValue* value = Require(key, expected);
  if (value == nullptr)
    return {};
  const std::string* text = value->AsString();
  if (text == nullptr) {
    AddWrongType(key, expected, *value);
    return {};
  }
  if (text->size() < bytes.low || text->size() > bytes.high) {
    AddFinding(key, fmt::format("expected {}, found {} bytes", expected,
                                text->size()));
    return {};
  }
  return *text;
}

std::string JsonObjectReader::Name(std::string_view key) {
  const std::string expected =
      fmt::format("a name of 1 to {} letters, digits and -_.:/", kMaxNameBytes);
  const JsonValue* value = Require(key, expected);
  if (value == nullptr)
    return {};
  const std::string* text = value->AsString();
  if (text == nullptr) {
    AddWrongType(key, expected, *value);
    return {};
  }
  if (!IsName(*text)) {
    AddFinding(key, fmt::format("expected {}, found {}", expected,
                                QuoteTruncated(*text)));
    return {};
  }
  return *text;
}

std::int64_t JsonObjectReader::CheckInteger(std::string_view key,
                                            const JsonValue& value,
                                            IntegerRange range) {
  const auto number = value.AsInteger();
  if (number && *number >= range.low && *number <= range.high)
    return *number;
  if (value.kind() != JsonKind::kNumber) {
    AddWrongType(key, DescribeRange(range), value);
    return range.low;
  }
  AddFinding(key, fmt::format("expected {}, found {}", DescribeRange(range),
                              ToJson(value)));
  return range.low;
}

std::int64_t JsonObjectReader::Integer(std::string_view key,
                                       IntegerRange range) {
  const JsonValue* value = Require(key, DescribeRange(range));
  return value == nullptr ? range.low : CheckInteger(key, *value, range);
}

std::int64_t JsonObjectReader::IntegerOr(std::string_view key,
                                         std::int64_t fallback,
                                         IntegerRange range) {
  const JsonValue* value = Get(key);
  return value == nullptr ? fallback : CheckInteger(key, *value, range);
}

double JsonObjectReader::CheckNumber(std::string_view key,
                                     const JsonValue& value,
                                     NumberRange range) {
  const auto number = value.AsNumber();
  if (number && *number >= range.low && *number <= range.high)
    return *number;
  const std::string expected =
      fmt::format("a number from {} to {}", range.low, range.high);
  if (!number)
    AddWrongType(key, expected, value);
  else
    AddFinding(key, fmt::format("expected {}, found {}", expected, *number));
  return range.low;
}

double JsonObjectReader::Number(std::string_view key, NumberRange range) {
  const JsonValue* value = Require(
      key, fmt::format("a number from {} to {}", range.low, range.high));
  return value == nullptr ? range.low : CheckNumber(key, *value, range);
}

double JsonObjectReader::NumberOr(std::string_view key,
                                  double fallback,
                                  NumberRange range) {
  const JsonValue* value = Get(key);
  return value == nullptr ? fallback : CheckNumber(key, *value, range);
}

bool JsonObjectReader::BooleanOr(std::string_view key, bool fallback) {
  const JsonValue* value = Get(key);
  if (value == nullptr)
    return fallback;
  const auto flag = value->AsBoolean();
  if (!flag)
    AddWrongType(key, "true or false", *value);
  return flag.value_or(fallback);
}

Duration JsonObjectReader::Milliseconds(std::string_view key,
                                        IntegerRange range) {
  return std::chrono::milliseconds(Integer(key, range));
}

Duration JsonObjectReader::MillisecondsOr(std::string_view key,
                                          Duration fallback,
                                          IntegerRange range) {
  return Has(key) ? Milliseconds(key, range) : fallback;
}

std::optional<std::size_t> JsonObjectReader::Choice(
    std::string_view key,
    std::span<const std::string_view> choices) {
  const std::string expected =
      fmt::format("one of \"{}\"", fmt::join(choices, "\", \""));
  const JsonValue* value = Require(key, expected);
  if (value == nullptr)
    return std::nullopt;
  const std::string* text = value->AsString();
  if (text == nullptr) {
    AddWrongType(key, expected, *value);
    return std::nullopt;
  }
  const auto choice = std::ranges::find(choices, *text);
  if (choice == choices.end()) {
    AddFinding(key, fmt::format("expected {}, found {}", expected,
                                QuoteTruncated(*text)));
    return std::nullopt;
  }
  return static_cast<std::size_t>(choice - choices.begin());
}

std::span<const JsonValue> JsonObjectReader::CheckArray(std::string_view key,
                                                        const JsonValue& value,
                                                        SizeRange count) {
  const std::string expected =
      fmt::format("an array of {} to {} items", count.low, count.high);
  if (value.kind() != JsonKind::kArray) {
    AddWrongType(key, expected, value);
    return {};
  }
  const std::size_t found_count = value.items().size();
  if (found_count < count.low || found_count > count.high) {
    AddFinding(
        key, fmt::format("expected {}, found {} items", expected, found_count));
    return {};
  }
  return value.items();
}

std::span<const JsonValue> JsonObjectReader::Array(std::string_view key,
                                                   SizeRange count) {
  const JsonValue* value = Require(key, "an array");
  if (value == nullptr)
    return {};
  return CheckArray(key, *value, count);
}

std::span<const JsonValue> JsonObjectReader::ArrayOr(std::string_view key,
                                                     SizeRange count) {
  const JsonValue* value = Get(key);
  if (value == nullptr)
    return {};
  return CheckArray(key, *value, count);
}

const JsonValue* JsonObjectReader::CheckObject(std::string_view key,
                                               const JsonValue& value) {
  if (value.kind() == JsonKind::kObject)
    return &value;
  AddWrongType(key, "an object", value);
  return nullptr;
}

const JsonValue* JsonObjectReader::Object(std::string_view key) {
  const JsonValue* value = Require(key, "an object");
  return value == nullptr ? nullptr : CheckObject(key, *value);
}

const JsonValue* JsonObjectReader::ObjectOr(std::string_view key) {
  const JsonValue* value = Get(key);
  return value == nullptr ? nullptr : CheckObject(key, *value);
}

void JsonObjectReader::ReportUnknownKeys() {
  for (const JsonMember& member : value_.members()) {
    if (std::ranges::find(known_keys_, member.key) != known_keys_.end())
      continue;
    AddFinding(member.key, fmt::format("unknown key; expected one of \"{}\"",
                                       fmt::join(known_keys_, "\", \"")));
  }
}

}  // namespace briarlead
