#include "briarlead_json/json_writer.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

namespace briarlead {

namespace {

bool NeedsNoEscape(char byte) {
  return byte >= ' ' && byte < 0x7f && byte != '"' && byte != '\\';
}

}  // namespace

void AppendQuotedJson(std::string& out, std::string_view text) {
  if (std::ranges::all_of(text, NeedsNoEscape)) {
    out += '"';
    out += text;
    out += '"';
    return;
  }
  out += nlohmann::json(text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

std::string QuoteJson(std::string_view text) {
  std::string out;
  AppendQuotedJson(out, text);
  return out;
}

void JsonWriter::WriteSeparator() {
  if (needs_comma_)
    text_ += ',';
  needs_comma_ = true;
}

JsonWriter& JsonWriter::Begin(char bracket) {
  WriteSeparator();
  text_ += bracket;
  needs_comma_ = false;
  return *this;
}

JsonWriter& JsonWriter::End(char bracket) {
  text_ += bracket;
  needs_comma_ = true;
  return *this;
}

JsonWriter& JsonWriter::Key(std::string_view key) {
  WriteSeparator();
  AppendQuotedJson(text_, key);
  text_ += ':';
  needs_comma_ = false;
  return *this;
}

JsonWriter& JsonWriter::String(std::string_view value) {
  WriteSeparator();
  AppendQuotedJson(text_, value);
  return *this;
}

JsonWriter& JsonWriter::Boolean(bool value) {
  WriteSeparator();
  text_ += value ? "true" : "false";
  return *this;
}

JsonWriter& JsonWriter::Null() {
  WriteSeparator();
  text_ += "null";
  return *this;
}

JsonWriter& JsonWriter::Number(double value) {
  if (!std::isfinite(value))
    return Null();
  WriteSeparator();
  fmt::format_to(std::back_inserter(text_), "{}", value);
  return *this;
}

JsonWriter& JsonWriter::Integer(std::int64_t value) {
  WriteSeparator();
  fmt::format_to(std::back_inserter(text_), "{}", value);
  return *this;
}

JsonWriter& JsonWriter::Unsigned(std::uint64_t value) {
  WriteSeparator();
  fmt::format_to(std::back_inserter(text_), "{}", value);
  return *this;
}

JsonWriter& JsonWriter::Value(const JsonValue& value) {
  switch (value.kind()) {
    case JsonKind::kNull:
      return Null();
    case JsonKind::kBoolean:
      return Boolean(*value.AsBoolean());
    case JsonKind::kString:
      return String(*value.AsString());
    case JsonKind::kNumber:
      if (const auto number = value.AsInteger())
        return Integer(*number);
      if (const auto number = value.AsUnsigned())
        return Unsigned(*number);
      return Number(*value.AsNumber());
    case JsonKind::kArray:
      BeginArray();
      for (const JsonValue& item : value.items())
        Value(item);
      return EndArray();
    case JsonKind::kObject:
      BeginObject();
      for (const JsonMember& member : value.members())
        Field(member.key, member.value);
      return EndObject();
  }
  return *this;
}

std::string JsonWriter::Take() {
  needs_comma_ = false;
  return std::exchange(text_, {});
}

std::string ToJson(const JsonValue& value) {
  JsonWriter writer;
  writer.Value(value);
  return writer.Take();
}

}  // namespace briarlead
