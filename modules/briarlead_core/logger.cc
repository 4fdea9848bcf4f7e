#include "briarlead_core/logger.h"

#include <fcntl.h>
#include <fmt/chrono.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <utility>

namespace briarlead {

namespace {

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "unknown";
}

bool NeedsQuotes(std::string_view value) {
  if (value.empty())
    return true;
  for (const char character : value) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte <= ' ' || byte >= 0x7f || character == '"' || character == '=' ||
        character == '\\')
      return true;
  }
  return false;
}

void AppendValue(std::string& line, std::string_view value) {
  if (!NeedsQuotes(value)) {
    line += value;
    return;
  }
  line += '"';
  for (const char character : value) {
    const auto byte = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      line += '\\';
      line += character;
    } else if (byte < ' ' || byte >= 0x7f) {
      line += fmt::format("\\x{:02x}", byte);
    } else {
      line += character;
    }
  }
  line += '"';
}

std::string UtcTimestamp() {
  const auto now = std::chrono::floor<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  const auto second = std::chrono::floor<std::chrono::seconds>(now);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", second,
                     (now - second).count());
}

}  // namespace

Logger::Logger(LogLevel level, TimestampSource timestamp, Sink sink)
    : level_(level), timestamp_(std::move(timestamp)), sink_(std::move(sink)) {}

Logger Logger::ToStandardError(LogLevel level) {
  return {level, UtcTimestamp,
          [](std::string_view line) { fmt::print(stderr, "{}\n", line); }};
}

Logger Logger::ToStandardOutput(LogLevel level) {
  // Non-blocking, so that a slow reader of standard output loses lines instead
  // of stalling the process.
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0)
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  auto dropped = std::make_shared<std::uint64_t>(0);
  return {level, UtcTimestamp, [dropped](std::string_view line) {
            std::string text(line);
            if (*dropped > 0)
              text += fmt::format(" lines_dropped={}", *dropped);
            text += '\n';
            const ssize_t written =
                write(STDOUT_FILENO, text.data(), text.size());
            if (written == static_cast<ssize_t>(text.size()))
              *dropped = 0;
            else
              ++*dropped;
          }};
}

void Logger::Write(TimePoint now,
                   LogLevel level,
                   std::string_view event,
                   std::initializer_list<LogField> fields) {
  if (level < level_)
    return;
  EventRate& rate = rates_[std::string(event)];
  if (!AllowLine(rate, now))
    return;
  std::string line =
      fmt::format("{} {} {}", timestamp_(), LevelName(level), event);
  for (const LogField& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    AppendValue(line, field.value);
  }
  if (rate.suppressed > 0)
    line += fmt::format(" left_out={}", std::exchange(rate.suppressed, 0));
  sink_(line);
}

bool Logger::AllowLine(EventRate& rate, TimePoint now) const {
  if (now - rate.window_start >= std::chrono::seconds(1)) {
    rate.window_start = now;
    rate.written = 0;
  }
  if (rate.written >= kMaxLinesPerEventSecond) {
    ++rate.suppressed;
    return false;
  }
  ++rate.written;
  return true;
}

}  // namespace briarlead
