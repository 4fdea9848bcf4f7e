#ifndef BRIARLEAD_JSON_JSON_WRITER_H_
#define BRIARLEAD_JSON_JSON_WRITER_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "briarlead_json/json_value.h"

namespace briarlead {

/// Returns `text` as a quoted and escaped JSON string. Invalid UTF-8 is
/// replaced by U+FFFD.
std::string QuoteJson(std::string_view text);

/// Appends QuoteJson(`text`) to `out`.
void AppendQuotedJson(std::string& out, std::string_view text);

/// Writes a JSON document incrementally and without whitespace. The caller must
/// begin and end arrays and objects in matching pairs; this is not checked.
class JsonWriter {
 public:
  JsonWriter& BeginObject() { return Begin('{'); }
  JsonWriter& EndObject() { return End('}'); }
  JsonWriter& BeginArray() { return Begin('['); }
  JsonWriter& EndArray() { return End(']'); }

  /// Writes the key of a member; the next call must write its value.
  JsonWriter& Key(std::string_view key);

  JsonWriter& String(std::string_view value);
  JsonWriter& Boolean(bool value);
  JsonWriter& Null();
  /// Writes the shortest decimal form that parses to the same number, or null
  /// for a number that is not finite.
  JsonWriter& Number(double value);
  JsonWriter& Integer(std::int64_t value);
  JsonWriter& Unsigned(std::uint64_t value);
  JsonWriter& Value(const JsonValue& value);

  /// Writes a member: its key and value.
  JsonWriter& Field(std::string_view key, std::string_view value) {
    return Key(key).String(value);
  }
  JsonWriter& Field(std::string_view key, const char* value) {
    return Key(key).String(value);
  }
  JsonWriter& Field(std::string_view key, std::same_as<bool> auto value) {
    return Key(key).Boolean(value);
  }
  JsonWriter& Field(std::string_view key, std::floating_point auto value) {
    return Key(key).Number(value);
  }
  template <std::integral T>
  requires(!std::same_as<T, bool>) JsonWriter& Field(std::string_view key,
                                                     T value) {
    Key(key);
    if constexpr (std::signed_integral<T>)
      return Integer(value);
    else
      return Unsigned(value);
  }
  JsonWriter& Field(std::string_view key, const JsonValue& value) {
    return Key(key).Value(value);
  }

  /// Returns the document and clears the writer.
  std::string Take();

 private:
  JsonWriter& Begin(char bracket);
  JsonWriter& End(char bracket);
  /// Writes a comma if the next value or key needs one before it.
  void WriteSeparator();

  std::string text_;
  bool needs_comma_ = false;
};

/// Returns `value` as a JSON document without whitespace.
std::string ToJson(const JsonValue& value);

}  // namespace briarlead

#endif  // BRIARLEAD_JSON_JSON_WRITER_H_
