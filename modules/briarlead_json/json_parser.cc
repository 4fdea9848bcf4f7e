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
constexpr std::size_t kMaxDuplicatesReported = 100;

/// Replaces what can't stand in one line of a report and shortens it.
std::string Printable(std::string_view message) {
  std::string text(message.substr(0, kMaxMessageBytes));
  std::ranges::replace_if(
      text, [](char it) { return it < ' ' || it == 0x7f; }, '?');
  if (message.size() > kMaxMessageBytes)
    text += "...";
  return text;
}

/// Takes the exception's "[json.exception...] " off the front.
std::string_view WithoutTag(std::string_view message) {
  const std::size_t end = message.find("] ");
  return end == std::string_view::npos ? message : message.substr(end + 2);
}

/// An array or object whose end has not come yet.
struct OpenValue {
  JsonValue value;
  bool is_object = false;
  std::optional<std::string> key;  ///< Key whose value comes next.
  std::unordered_set<std::string> keys;
};

/// Builds a JsonValue from the parser's events within JsonLimits.
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

  bool null() override { return Scalar(JsonValue()); }
  bool boolean(bool value) override { return Scalar(JsonValue(value)); }
  bool number_integer(std::int64_t value) override {
    return Scalar(JsonValue(value));
  }
  bool number_unsigned(std::uint64_t value) override {
    return Scalar(JsonValue(value));
  }
  bool number_float(double value, const std::string& /*text*/) override {
    return Scalar(JsonValue(value));
  }
  bool string(std::string& value) override {
    return Scalar(JsonValue(std::move(value)));
  }
  bool binary(nlohmann::json::binary_t& /*value*/) override { return false; }
  bool start_object(std::size_t /*size*/) override { return Open(true); }
  bool start_array(std::size_t /*size*/) override { return Open(false); }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }

  bool key(std::string& key) override {
    OpenValue& open = open_.back();
    if (!open.keys.insert(key).second)
      ReportDuplicate(key);
    open.key = std::move(key);
    return true;
  }

  bool parse_error(std::size_t /*position*/,
                   const std::string& /*token*/,
                   const nlohmann::json::exception& ec) override {
    findings_.Add(root_place_.file, Here().path,
                  Printable(WithoutTag(ec.what())));
    return false;
  }

 private:
  /// Returns the place of the value that comes next.
  [[nodiscard]] JsonPlace Here() const {
    JsonPlace place = root_place_;
    for (const OpenValue& it : open_) {
      if (!it.is_object)
        place = place.Item(it.value.items().size());
      else if (it.key)
        place = place.Member(*it.key);
    }
    return place;
  }

  bool Refuse(std::string message) {
    exceeded_limit_ = true;
    findings_.Add(root_place_.file, Here().path, std::move(message));
    return false;
  }

  bool CountValue() {
    if (++values_ <= limits_.max_values)
      return true;
    return Refuse(fmt::format("more than {} values", limits_.max_values));
  }

  void ReportDuplicate(const std::string& key) {
    if (++duplicates_ > kMaxDuplicatesReported)
      return;
    open_.back().key = key;
    findings_.Add(root_place_.file, Here().path,
                  "duplicate key; each key may stand once");
  }

  void Place(JsonValue value) {
    if (open_.empty()) {
      root_ = std::move(value);
      return;
    }
    OpenValue& parent = open_.back();
    if (!parent.is_object) {
      parent.value.Append(std::move(value));
      return;
    }
    parent.value.AppendMember(std::move(*parent.key), std::move(value));
    parent.key.reset();
  }

  bool Scalar(JsonValue value) {
    if (!CountValue())
      return false;
    Place(std::move(value));
    return true;
  }

  bool Open(bool is_object) {
    if (!CountValue())
      return false;
    if (open_.size() >= limits_.max_depth)
      return Refuse(fmt::format("nested deeper than {}", limits_.max_depth));
    OpenValue& open = open_.emplace_back();
    open.is_object = is_object;
    open.value = is_object ? JsonValue(JsonValue::Object())
                           : JsonValue(JsonValue::Array());
    return true;
  }

  bool Close() {
    JsonValue value = std::move(open_.back().value);
    open_.pop_back();
    Place(std::move(value));
    return true;
  }

  JsonPlace root_place_;
  const JsonLimits& limits_;
  Findings& findings_;
  std::vector<OpenValue> open_;
  JsonValue root_;
  std::size_t values_ = 0;
  std::size_t duplicates_ = 0;
  bool exceeded_limit_ = false;
};

/// What reading gave beside the findings.
struct ParseOutcome {
  std::optional<JsonValue> value;
  bool exceeded_limit = false;
};

ParseOutcome Parse(std::string_view file,
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
  ParseOutcome outcome = Parse("body", text, limits, findings);
  if (outcome.value)
    return std::move(*outcome.value);
  const Finding& first = findings.items().front();
  const ErrorCode code = outcome.exceeded_limit ? ErrorCode::kTooLarge
                                                : ErrorCode::kInvalidArgument;
  if (first.place.empty())
    return Fail(code, first.message);
  return Fail(code, fmt::format("{}: {}", first.place, first.message));
}

}  // namespace briarlead
