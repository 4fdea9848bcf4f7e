#include "briarlead_json/json_parser.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "briarlead_json/json_place.h"

namespace briarlead {

namespace {

constexpr std::size_t kMaxMessageBytes = 200;
constexpr std::size_t kMaxReportedDuplicates = 100;

/// Replaces control characters, which would break a report's line, by '?' and
/// truncates long messages.
std::string Printable(std::string_view message) {
  std::string text(message.substr(0, kMaxMessageBytes));
  std::ranges::replace_if(
      text, [](char byte) { return byte < ' ' || byte == 0x7f; }, '?');
  if (message.size() > kMaxMessageBytes)
    text += "...";
  return text;
}

/// Returns `message` without the prefix "[json.exception...] " that
/// nlohmann::json puts before its error messages.
std::string_view WithoutExceptionPrefix(std::string_view message) {
  const std::size_t prefix_end = message.find("] ");
  return prefix_end == std::string_view::npos ? message
                                              : message.substr(prefix_end + 2);
}

/// An array or object whose end has not been parsed yet.
struct OpenContainer {
  JsonValue value;
  bool is_object = false;
  std::optional<std::string> key;  ///< Key of the value that is parsed next.
  std::unordered_set<std::string> keys;  ///< Keys so far, to find duplicates.
};

/// Builds a JsonValue from the events of the SAX parser and enforces
/// JsonLimits. A callback that returns false ends the parsing.
class DocumentBuilder : public nlohmann::json_sax<nlohmann::json> {
 public:
  DocumentBuilder(std::string_view file,
                  const JsonLimits& limits,
                  Findings& findings)
      : root_place_{std::string(file), ""},
        limits_(limits),
        findings_(findings) {}

  [[nodiscard]] bool exceeded_limit() const { return exceeded_limit_; }
  JsonValue TakeRoot() { return std::move(root_); }

  bool null() override { return AddScalar(JsonValue()); }
  bool boolean(bool value) override { return AddScalar(JsonValue(value)); }
  bool number_integer(std::int64_t value) override {
    return AddScalar(JsonValue(value));
  }
  bool number_unsigned(std::uint64_t value) override {
    return AddScalar(JsonValue(value));
  }
  bool number_float(double value, const std::string& /*text*/) override {
    return AddScalar(JsonValue(value));
  }
  bool string(std::string& value) override {
    return AddScalar(JsonValue(std::move(value)));
  }
  bool binary(nlohmann::json::binary_t& /*value*/) override { return false; }
  bool start_object(std::size_t /*size*/) override { return OpenNested(true); }
  bool start_array(std::size_t /*size*/) override { return OpenNested(false); }
  bool end_object() override { return CloseNested(); }
  bool end_array() override { return CloseNested(); }

  bool key(std::string& key) override {
    OpenContainer& open = open_.back();
    if (!open.keys.insert(key).second)
      ReportDuplicate(key);
    open.key = std::move(key);
    return true;
  }

  bool parse_error(std::size_t /*position*/,
                   const std::string& /*token*/,
                   const nlohmann::json::exception& error) override {
    findings_.Add(root_place_.file, NextPlace().path,
                  Printable(WithoutExceptionPrefix(error.what())));
    return false;
  }

 private:
  /// Returns the place of the value that is parsed next.
  [[nodiscard]] JsonPlace NextPlace() const {
    JsonPlace place = root_place_;
    for (const OpenContainer& container : open_) {
      if (!container.is_object)
        place = place.Item(container.value.items().size());
      else if (container.key)
        place = place.Member(*container.key);
    }
    return place;
  }

  /// Adds the finding for an exceeded limit and returns false.
  bool FailLimit(std::string message) {
    exceeded_limit_ = true;
    findings_.Add(root_place_.file, NextPlace().path, std::move(message));
    return false;
  }

  /// Returns whether one more value is within the limit.
  bool CountValue() {
    if (++value_count_ <= limits_.max_values)
      return true;
    return FailLimit(fmt::format("more than {} values", limits_.max_values));
  }

  void ReportDuplicate(const std::string& key) {
    if (++duplicate_count_ > kMaxReportedDuplicates)
      return;
    open_.back().key = key;
    findings_.Add(root_place_.file, NextPlace().path,
                  "duplicate key; each key may stand once");
  }

  /// Adds a complete value to the innermost open container, or makes it the
  /// root.
  void AddValue(JsonValue value) {
    if (open_.empty()) {
      root_ = std::move(value);
      return;
    }
    OpenContainer& parent = open_.back();
    if (!parent.is_object) {
      parent.value.Append(std::move(value));
      return;
    }
    parent.value.AppendMember(std::move(*parent.key), std::move(value));
    parent.key.reset();
  }

  bool AddScalar(JsonValue value) {
    if (!CountValue())
      return false;
    AddValue(std::move(value));
    return true;
  }

  bool OpenNested(bool is_object) {
    if (!CountValue())
      return false;
    if (open_.size() >= limits_.max_depth)
      return FailLimit(fmt::format("nested deeper than {}", limits_.max_depth));
    OpenContainer& open = open_.emplace_back();
    open.is_object = is_object;
    open.value = is_object ? JsonValue(JsonValue::Object())
                           : JsonValue(JsonValue::Array());
    return true;
  }

  bool CloseNested() {
    JsonValue value = std::move(open_.back().value);
    open_.pop_back();
    AddValue(std::move(value));
    return true;
  }

  JsonPlace root_place_;
  const JsonLimits& limits_;
  Findings& findings_;
  std::vector<OpenContainer> open_;
  JsonValue root_;
  std::size_t value_count_ = 0;
  std::size_t duplicate_count_ = 0;
  bool exceeded_limit_ = false;
};

/// Result of parsing, besides the findings.
struct ParsedDocument {
  std::optional<JsonValue> value;
  bool exceeded_limit = false;
};

ParsedDocument Parse(std::string_view file,
                     std::string_view text,
                     const JsonLimits& limits,
                     Findings& findings) {
  if (text.size() > limits.max_bytes) {
    findings.Add(file, "",
                 fmt::format("{} bytes; at most {} are accepted", text.size(),
                             limits.max_bytes));
    return {std::nullopt, true};
  }
  const std::size_t findings_before = findings.items().size();
  DocumentBuilder builder(file, limits, findings);
  nlohmann::json::sax_parse(text.begin(), text.end(), &builder,
                            nlohmann::json::input_format_t::json, true,
                            limits.allow_comments);
  if (findings.items().size() > findings_before)
    return {std::nullopt, builder.exceeded_limit()};
  return {builder.TakeRoot(), false};
}

}  // namespace

std::optional<JsonValue> ParseJson(std::string_view file,
                                   std::string_view text,
                                   const JsonLimits& limits,
                                   Findings& findings) {
  return Parse(file, text, limits, findings).value;
}

Result<JsonValue> ParseJson(std::string_view text, JsonLimits limits) {
  limits.allow_comments = false;
  Findings findings;
  ParsedDocument document = Parse("body", text, limits, findings);
  if (document.value)
    return std::move(*document.value);
  const Finding& first = findings.items().front();
  const ErrorCode code = document.exceeded_limit ? ErrorCode::kTooLarge
                                                 : ErrorCode::kInvalidArgument;
  if (first.place.empty())
    return Fail(code, first.message);
  return Fail(code, fmt::format("{}: {}", first.place, first.message));
}

}  // namespace briarlead
