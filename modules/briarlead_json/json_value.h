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

/// Type of the value that a JsonValue holds.
enum class JsonKind { kNull, kBoolean, kNumber, kString, kArray, kObject };

/// Returns `kind` as it is called in messages, for example "an array".
std::string_view ToString(JsonKind kind);

/// A value of a JSON document. Objects preserve the order of their members.
class JsonValue {
 public:
  using Array = std::vector<JsonValue>;
  using Object = std::vector<JsonMember>;

  /// Constructs a null value.
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

  /// Returns the value if it has the requested type, else nullopt. An integer
  /// is a number that was written without fraction and exponent and that fits
  /// into the returned type.
  [[nodiscard]] std::optional<bool> AsBoolean() const;
  [[nodiscard]] std::optional<std::int64_t> AsInteger() const;
  [[nodiscard]] std::optional<std::uint64_t> AsUnsigned() const;
  [[nodiscard]] std::optional<double> AsNumber() const;

  /// Returns the string, or null for a value of another kind.
  [[nodiscard]] const std::string* AsString() const;

  /// Returns the items of an array; empty for a value of another kind.
  [[nodiscard]] std::span<const JsonValue> items() const;

  /// Returns the members of an object; empty for a value of another kind.
  [[nodiscard]] std::span<const JsonMember> members() const;

  /// Returns the value of the member `key`, or null when there is no such
  /// member or this is not an object.
  [[nodiscard]] const JsonValue* Find(std::string_view key) const;

  /// Adds or replaces the member `key`. A value that is not an object is
  /// replaced by an empty object first.
  void Set(std::string_view key, JsonValue value);

  /// Same as Set(), but always adds the member, without the search for an
  /// existing member `key`.
  void AppendMember(std::string key, JsonValue value);

  /// Appends an item and returns a reference to it. A value that is not an
  /// array is replaced by an empty array first.
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

/// A member of an object: its key and value.
struct JsonMember {
  std::string key;
  JsonValue value;

  friend bool operator==(const JsonMember&, const JsonMember&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_JSON_JSON_VALUE_H_
