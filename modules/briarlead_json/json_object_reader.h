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

/// Smallest and greatest accepted value, both inclusive.
struct IntegerRange {
  std::int64_t low = 0;
  std::int64_t high = 0;
};

/// Smallest and greatest accepted value, both inclusive.
struct NumberRange {
  double low = 0;
  double high = 0;
};

/// Smallest and greatest accepted count of items or bytes, both inclusive.
struct SizeRange {
  std::size_t low = 0;
  std::size_t high = 0;
};

/// Reads and validates an object with a known set of keys. Each problem (not an
/// object, missing key, wrong type, out of range, unknown key) is added as a
/// finding with its place. Reading then continues with a placeholder (the lower
/// bound of the range, the fallback, or an empty value), so that all problems
/// are found in one pass. The functions whose names end in Or accept a missing
/// key.
class JsonObjectReader {
 public:
  /// Reads `value`, whose location is `place`. Both `value` and `findings` must
  /// outlive the reader.
  JsonObjectReader(const JsonValue& value, JsonPlace place, Findings& findings);

  /// Returns whether the object has the member `key`.
  bool Has(std::string_view key);

  /// Returns the string `key`, whose length must lie in `bytes`.
  std::string String(std::string_view key, SizeRange bytes);

  /// Returns the string `key`, which must be a name: 1 to kMaxNameBytes bytes,
  /// each an ASCII letter, a digit or one of "-_.:/".
  std::string Name(std::string_view key);

  /// Returns the number `key`, which must lie in `range`. Integer() and
  /// IntegerOr() accept only whole numbers.
  std::int64_t Integer(std::string_view key, IntegerRange range);
  std::int64_t IntegerOr(std::string_view key,
                         std::int64_t fallback,
                         IntegerRange range);
  double Number(std::string_view key, NumberRange range);
  double NumberOr(std::string_view key, double fallback, NumberRange range);
  /// Returns the boolean `key`.
  bool BooleanOr(std::string_view key, bool fallback);

  /// Returns the duration `key`, a whole number of milliseconds in `range`.
  Duration Milliseconds(std::string_view key, IntegerRange range);
  Duration MillisecondsOr(std::string_view key,
                          Duration fallback,
                          IntegerRange range);

  /// Returns the index in `choices` of the string `key`. A string that is not
  /// among them is a finding, and nullopt is returned.
  std::optional<std::size_t> Choice(std::string_view key,
                                    std::span<const std::string_view> choices);

  /// Returns the items of the array `key`, whose number must lie in `count`;
  /// empty when there is a finding.
  std::span<const JsonValue> Array(std::string_view key, SizeRange count);
  /// Same as Array(), but treats a missing key as an empty array.
  std::span<const JsonValue> ArrayOr(std::string_view key, SizeRange count);

  /// Returns the object `key`, or null when there is a finding.
  const JsonValue* Object(std::string_view key);
  /// Same as Object(), but a missing key gives null without a finding.
  const JsonValue* ObjectOr(std::string_view key);

  /// Returns the place of the member `key`, which need not exist.
  [[nodiscard]] JsonPlace PlaceOf(std::string_view key) const {
    return place_.Member(key);
  }
  /// Returns the place of the object.
  [[nodiscard]] const JsonPlace& place() const { return place_; }

  /// Adds a finding about the object as a whole.
  void AddFinding(std::string message);

  /// Adds a finding at the place of the member `key`.
  void AddFinding(std::string_view key, std::string message);

  /// Adds a finding for each key that no earlier call has asked for. Must be
  /// the last call that reads the object.
  void ReportUnknownKeys();

  /// Maximum length of a name that Name() accepts.
  static constexpr std::size_t kMaxNameBytes = 128;

 private:
  /// Returns the value of `key`, or null when it is missing, and records the
  /// key as known.
  const JsonValue* Get(std::string_view key);
  /// Same as Get(), but a missing key is a finding that says what is
  /// `expected`.
  const JsonValue* Require(std::string_view key, std::string_view expected);
  void AddWrongType(std::string_view key,
                    std::string_view expected,
                    const JsonValue& found);
  /// The Check functions return the value of `key` if it has the right type and
  /// lies in the range. Otherwise they add a finding and return a placeholder.
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
  std::vector<std::string> known_keys_;  ///< Keys that were asked for.
};

/// Returns whether `text` is a name that JsonObjectReader::Name() accepts.
bool IsName(std::string_view text);

}  // namespace briarlead

#endif  // BRIARLEAD_JSON_JSON_OBJECT_READER_H_
