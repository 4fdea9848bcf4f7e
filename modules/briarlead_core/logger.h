#ifndef BRIARLEAD_CORE_LOGGER_H_
#define BRIARLEAD_CORE_LOGGER_H_

#include <fmt/format.h>

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <unordered_map>

#include "briarlead_core/time.h"

namespace briarlead {

/// Severity of a log line, from lowest to highest.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// One key=value pair of a log line.
struct LogField {
  template <typename T>
  LogField(std::string_view field_key, const T& field_value)
      : key(field_key), value(fmt::format("{}", field_value)) {}

  std::string_view key;
  std::string value;
};

/// Writes structured log lines: timestamp, level, event name and key=value
/// fields, one line per event. Values are quoted and escaped where necessary,
/// so that bytes sent by a caller can't break a line. Each event name has a
/// rate limit: excess lines are counted instead of written, and the next line
/// that is written for that event name reports their number in the field
/// left_out.
class Logger {
 public:
  /// Receives one complete line without its line terminator.
  using Sink = std::function<void(std::string_view line)>;
  /// Returns the timestamp text with which each line starts.
  using TimestampSource = std::function<std::string()>;

  /// Maximum number of lines per event name and second.
  static constexpr std::uint32_t kMaxLinesPerEventSecond = 200;

  /// Writes lines of at least `level` to `sink`.
  Logger(LogLevel level, TimestampSource timestamp, Sink sink);

  /// Writes lines of at least `level` to standard error, with UTC timestamps.
  static Logger ToStandardError(LogLevel level);

  /// Writes lines of at least `level` to standard output, unbuffered and with
  /// UTC timestamps. Makes standard output non-blocking: a line that can't be
  /// written at once is dropped, and the next line that is written reports the
  /// number of dropped lines in the field lines_dropped.
  static Logger ToStandardOutput(LogLevel level);

  /// Writes one line. `now` is used for the rate limit only.
  void Write(TimePoint now,
             LogLevel level,
             std::string_view event,
             std::initializer_list<LogField> fields);

  /// Info(), Warning() and Failure() write one line at the levels kInfo,
  /// kWarning and kError.
  void Info(TimePoint now,
            std::string_view event,
            std::initializer_list<LogField> fields) {
    Write(now, LogLevel::kInfo, event, fields);
  }
  void Warning(TimePoint now,
               std::string_view event,
               std::initializer_list<LogField> fields) {
    Write(now, LogLevel::kWarning, event, fields);
  }
  void Failure(TimePoint now,
               std::string_view event,
               std::initializer_list<LogField> fields) {
    Write(now, LogLevel::kError, event, fields);
  }

 private:
  /// Rate-limit state of one event name.
  struct EventRate {
    TimePoint window_start;        ///< Start of the current one-second window.
    std::uint32_t written = 0;     ///< Lines written in the window.
    std::uint64_t suppressed = 0;  ///< Lines not written since the last one.
  };

  /// Returns whether the rate limit allows one more line, and counts the line
  /// as written or suppressed.
  bool AllowLine(EventRate& rate, TimePoint now) const;

  LogLevel level_;
  TimestampSource timestamp_;
  Sink sink_;
  std::unordered_map<std::string, EventRate> rates_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_CORE_LOGGER_H_
