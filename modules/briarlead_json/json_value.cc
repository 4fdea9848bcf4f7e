#include "briarlead_json/json_value.h"

#include <limits>

namespace briarlead {

namespace {

constexpr std::uint64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();

}  // namespace

std::string_view ToString(JsonKind kind) {
  switch (kind) {
    case JsonKind::kNull:
      return "null";
    case JsonKind::kBoolean:
      return "a boolean";
    case JsonKind::kNumber:
      return "a number";
    case JsonKind::kString:
      return "a string";
    case JsonKind::kArray:
      return "an array";
    case JsonKind::kObject:
      return "an object";
  }
  return "unknown";
}

JsonValue::JsonValue() = default;
JsonValue::JsonValue(bool value) : data_(value) {}
JsonValue::JsonValue(std::int64_t value) : data_(value) {}
JsonValue::JsonValue(std::uint64_t value) : data_(value) {}
JsonValue::JsonValue(double value) : data_(value) {}
JsonValue::JsonValue(std::string value) : data_(std::move(value)) {}
JsonValue::JsonValue(const char* value) : data_(std::string(value)) {}
JsonValue::JsonValue(Array value) : data_(std::move(value)) {}
JsonValue::JsonValue(Object value) : data_(std::move(value)) {}

JsonValue::JsonValue(const JsonValue&) = default;
JsonValue::JsonValue(JsonValue&&) noexcept = default;
JsonValue& JsonValue::operator=(const JsonValue&) = default;
JsonValue& JsonValue::operator=(JsonValue&&) noexcept = default;
JsonValue::~JsonValue() = default;

JsonKind JsonValue::kind() const {
  struct KindVisitor {
    JsonKind operator()(std::monostate) const { return JsonKind::kNull; }
    JsonKind operator()(bool) const { return JsonKind::kBoolean; }
    JsonKind operator()(std::int64_t) const { return JsonKind::kNumber; }
    JsonKind operator()(std::uint64_t) const { return JsonKind::kNumber; }
    JsonKind operator()(double) const { return JsonKind::kNumber; }
    JsonKind operator()(const std::string&) const { return JsonKind::kString; }
    JsonKind operator()(const Array&) const { return JsonKind::kArray; }
    JsonKind operator()(const Object&) const { return JsonKind::kObject; }
  };
  return std::visit(KindVisitor(), data_);
}

std::optional<bool> JsonValue::AsBoolean() const {
  if (const bool* it = std::get_if<bool>(&data_))
    return *it;
  return std::nullopt;
}

std::optional<std::int64_t> JsonValue::AsInteger() const {
  if (const std::int64_t* it = std::get_if<std::int64_t>(&data_))
    return *it;
  const std::uint64_t* it = std::get_if<std::uint64_t>(&data_);
  if (it != nullptr && *it <= kMaxInteger)
    return static_cast<std::int64_t>(*it);
  return std::nullopt;
}

std::optional<std::uint64_t> JsonValue::AsUnsigned() const {
  if (const std::uint64_t* it = std::get_if<std::uint64_t>(&data_))
    return *it;
  const std::int64_t* it = std::get_if<std::int64_t>(&data_);
  if (it != nullptr && *it >= 0)
    return static_cast<std::uint64_t>(*it);
  return std::nullopt;
}

std::optional<double> JsonValue::AsNumber() const {
  if (const double* it = std::get_if<double>(&data_))
    return *it;
  if (const std::int64_t* it = std::get_if<std::int64_t>(&data_))
    return static_cast<double>(*it);
  if (const std::uint64_t* it = std::get_if<std::uint64_t>(&data_))
    return static_cast<double>(*it);
  return std::nullopt;
}

const std::string* JsonValue::AsString() const {
  return std::get_if<std::string>(&data_);
}

std::span<const JsonValue> JsonValue::items() const {
  if (const Array* it = std::get_if<Array>(&data_))
    return *it;
  return {};
}

std::span<const JsonMember> JsonValue::members() const {
  if (const Object* it = std::get_if<Object>(&data_))
    return *it;
  return {};
}

const JsonValue* JsonValue::Find(std::string_view key) const {
  for (const JsonMember& member : members()) {
    if (member.key == key)
      return &member.value;
  }
  return nullptr;
}

void JsonValue::Set(std::string_view key, JsonValue value) {
  if (!std::holds_alternative<Object>(data_))
    data_ = Object();
  Object& object = std::get<Object>(data_);
  for (JsonMember& member : object) {
    if (member.key == key) {
      member.value = std::move(value);
      return;
    }
  }
  object.push_back({std::string(key), std::move(value)});
}

void JsonValue::AppendMember(std::string key, JsonValue value) {
  if (!std::holds_alternative<Object>(data_))
    data_ = Object();
  std::get<Object>(data_).push_back({std::move(key), std::move(value)});
}

JsonValue& JsonValue::Append(JsonValue value) {
  if (!std::holds_alternative<Array>(data_))
    data_ = Array();
  return std::get<Array>(data_).emplace_back(std::move(value));
}

bool operator==(const JsonValue& left, const JsonValue& right) {
  return left.data_ == right.data_;
}

}  // namespace briarlead
