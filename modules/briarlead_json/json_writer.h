#ifndef BRIARLEAD_JSON_JSON_WRITER_H_
#define BRIARLEAD_JSON_JSON_WRITER_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "briarlead_json/json_value.h"

namespace briarlead {

/// Returns `text` as a JSON string with its quotes. Bytes that are no UTF-8
/// become U+FFFD.
std::string QuoteJson(std::string_view text);

/// Appends what QuoteJson() returns to `out`.
void AppendQuotedJson(std::string& out, std::string_view text);

/// Writes one JSON document piece by piece, without spaces. The caller opens
/// and closes arrays and objects in order.
class JsonWriter {
 public:
  JsonWriter& BeginObject() { return Begin('{'); }
  JsonWriter& EndObject() { return End('}'); }
  JsonWriter& BeginArray() { return Begin('['); }
  JsonWriter& EndArray() { return End(']'); }

  /// Writes the key of the member whose value is written next.
  JsonWriter& Key(std::string_view key);

  JsonWriter& String(std::string_view value);
  JsonWriter& Boolean(bool value);
  JsonWriter& Null();
  /// Writes the shortest form that reads back; null when it is not finite.
  JsonWriter& Number(double value);
  JsonWriter& Integer(std::int64_t value);
  JsonWriter& Unsigned(std::uint64_t value);
  JsonWriter& Value(const JsonValue& value);

  /// Writes one member: a key and a value.
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

  /// Returns the document; the writer is empty afterwards.
  std::string Take();

 private:
  JsonWriter& Begin(char bracket);
  JsonWriter& End(char bracket);
  /// Writes the comma that is due before the next value or key.
  void Separate();

  std::string text_;
  bool needs_comma_ = false;
};

/// Returns `value` as a JSON document without spaces.
std::string ToJson(const JsonValue& value);

}  // namespace briarlead

#endif  // BRIARLEAD_JSON_JSON_WRITER_H_
