#ifndef BRIARLEAD_JSON_JSON_VALUE_H_
#define BRIARLEAD_JSON_JSON_VALUE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace briarlead {

struct JsonMember;

/// What a JsonValue holds.
enum class JsonKind { kNull, kBoolean, kNumber, kString, kArray, kObject };

/// Returns the name of `kind` for a person, for example "an array".
std::string_view ToString(JsonKind kind);

/// One value of a JSON document. Objects keep the order of their members.
class JsonValue {
 public:
  using Array = std::vector<JsonValue>;
  using Object = std::vector<JsonMember>;

  /// Makes null.
  JsonValue();
  explicit JsonValue(bool value);
  explicit JsonValue(std::int64_t value);
  explicit JsonValue(std::uint64_t value);
  explicit JsonValue(double value);
  explicit JsonValue(std::string value);
  explicit JsonValue(const char* value);
  explicit JsonValue(Array value);
  explicit JsonValue(Object value);

  JsonValue(const JsonValue&);
  JsonValue(JsonValue&&) noexcept;
  JsonValue& operator=(const JsonValue&);
  JsonValue& operator=(JsonValue&&) noexcept;
  ~JsonValue();

  [[nodiscard]] JsonKind kind() const;

  /// Returns the value when it is of that type, else nullopt. An integer is a
  /// number written without fraction and exponent, in the range of the type.
  [[nodiscard]] std::optional<bool> AsBoolean() const;
  [[nodiscard]] std::optional<std::int64_t> AsInteger() const;
  [[nodiscard]] std::optional<std::uint64_t> AsUnsigned() const;
  [[nodiscard]] std::optional<double> AsNumber() const;

  /// Returns the string, or null when this is none.
  [[nodiscard]] const std::string* AsString() const;

  /// Returns the items of an array; empty when this is none.
  [[nodiscard]] std::span<const JsonValue> items() const;

  /// Returns the members of an object; empty when this is none.
  [[nodiscard]] std::span<const JsonMember> members() const;

  /// Returns the member `key` of an object, or null.
  [[nodiscard]] const JsonValue* Find(std::string_view key) const;

  /// Adds or replaces the member `key`; makes an object of any other kind.
  void Set(std::string_view key, JsonValue value);

  /// Adds the member `key` without a look for one of that name; makes an
  /// object of any other kind.
  void AppendMember(std::string key, JsonValue value);

  /// Adds an item; makes an array of any other kind. Returns the item.
  JsonValue& Append(JsonValue value);

  friend bool operator==(const JsonValue&, const JsonValue&);

 private:
  std::variant<std::monostate,
               bool,
               std::int64_t,
               std::uint64_t,
               double,
               std::string,
               Array,
               Object>
      data_;
};

/// One key of an object and its value.
struct JsonMember {
  std::string key;
  JsonValue value;

  friend bool operator==(const JsonMember&, const JsonMember&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_JSON_JSON_VALUE_H_
