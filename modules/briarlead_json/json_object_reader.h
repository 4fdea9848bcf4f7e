#ifndef BRIARLEAD_JSON_JSON_OBJECT_READER_H_
#define BRIARLEAD_JSON_JSON_OBJECT_READER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "briarlead_core/findings.h"
#include "briarlead_core/time.h"
#include "briarlead_json/json_place.h"
#include "briarlead_json/json_value.h"

namespace briarlead {

/// Least and greatest value accepted, both included.
struct IntegerRange {
  std::int64_t low = 0;
  std::int64_t high = 0;
};

/// Least and greatest value accepted, both included.
struct NumberRange {
  double low = 0;
  double high = 0;
};

/// Least and greatest count accepted, both included.
struct SizeRange {
  std::size_t low = 0;
  std::size_t high = 0;
};

/// Reads an object whose keys are known. Each fault (not an object, missing
/// key, wrong type, out of range, unknown key) becomes a finding at its place;
/// reading goes on with a stand-in value, so that all are found in one pass.
class JsonObjectReader {
 public:
  /// Reads `value`, which stands at `place`. Both `value` and `findings` must
  /// outlive the reader.
  JsonObjectReader(const JsonValue& value, JsonPlace place, Findings& findings);

  /// Returns whether `key` stands in the object.
  bool Has(std::string_view key);

  /// Returns the string `key`, of a length in `bytes`.
  std::string String(std::string_view key, SizeRange bytes);

  /// Returns the name `key`: 1 to kMaxNameBytes letters, digits and "-_.:/".
  std::string Name(std::string_view key);

  std::int64_t Integer(std::string_view key, IntegerRange range);
  std::int64_t IntegerOr(std::string_view key,
                         std::int64_t fallback,
                         IntegerRange range);
  double Number(std::string_view key, NumberRange range);
  double NumberOr(std::string_view key, double fallback, NumberRange range);
  bool BooleanOr(std::string_view key, bool fallback);

  /// Returns a duration written as a whole number of milliseconds.
  Duration Milliseconds(std::string_view key, IntegerRange range);
  Duration MillisecondsOr(std::string_view key,
                          Duration fallback,
                          IntegerRange range);

  /// Returns the index in `choices` of the string `key`; nullopt when it is
  /// none of them, which is a finding.
  std::optional<std::size_t> Choice(std::string_view key,
                                    std::span<const std::string_view> choices);

  /// Returns the items of the array `key`; empty when there is a fault.
  std::span<const JsonValue> Array(std::string_view key, SizeRange count);
  /// As Array(), but a missing key is an empty array.
  std::span<const JsonValue> ArrayOr(std::string_view key, SizeRange count);

  /// Returns the object `key`, or null when there is a fault.
  const JsonValue* Object(std::string_view key);
  /// As Object(), but a missing key is no fault.
  const JsonValue* ObjectOr(std::string_view key);

  /// Returns where `key` stands, or would stand.
  [[nodiscard]] JsonPlace PlaceOf(std::string_view key) const {
    return place_.Member(key);
  }
  [[nodiscard]] const JsonPlace& place() const { return place_; }

  /// Adds a finding about the whole object.
  void AddFinding(std::string message);

  /// Adds a finding at `key`.
  void AddFinding(std::string_view key, std::string message);

  /// Adds a finding for each key that no call has asked for. Call it last.
  void ReportUnknownKeys();

  /// Longest name that Name() accepts.
  static constexpr std::size_t kMaxNameBytes = 128;

 private:
  /// Returns the value of `key`, or null; marks the key as known.
  const JsonValue* Get(std::string_view key);
  /// As Get(), and a missing key is a finding.
  const JsonValue* Require(std::string_view key, std::string_view expected);
  void AddWrongType(std::string_view key,
                    std::string_view expected,
                    const JsonValue& found);
  std::int64_t CheckInteger(std::string_view key,
                            const JsonValue& value,
                            IntegerRange range);
  double CheckNumber(std::string_view key,
                     const JsonValue& value,
                     NumberRange range);
  std::span<const JsonValue> CheckArray(std::string_view key,
                                        const JsonValue& value,
                                        SizeRange count);
  const JsonValue* CheckObject(std::string_view key, const JsonValue& value);

  const JsonValue& value_;
  JsonPlace place_;
  Findings& findings_;
  std::vector<std::string> known_keys_;
};

/// Returns whether `text` is a name as JsonObjectReader::Name() accepts.
bool IsName(std::string_view text);

}  // namespace briarlead

#endif  // BRIARLEAD_JSON_JSON_OBJECT_READER_H_
