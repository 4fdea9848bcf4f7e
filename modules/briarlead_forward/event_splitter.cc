#include "briarlead_forward/event_splitter.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace briarlead {

namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::array<std::string_view, 4> kEventFields = {"id", "data", "event",
                                                          "retry"};

/// Returns the length of the first complete event in `text`; npos if there is
/// none.
std::size_t FirstEventLength(std::string_view text) {
  const std::size_t newlines = text.find("\n\n");
  const std::size_t crlf = text.find("\r\n\r\n");
  if (newlines == std::string_view::npos && crlf == std::string_view::npos)
    return std::string_view::npos;
  if (crlf == std::string_view::npos ||
      (newlines != std::string_view::npos && newlines < crlf)) {
    return newlines + 2;
  }
  return crlf + 4;
}

/// Returns the numeric value of the event's first valid `id:` field.
std::optional<std::uint64_t> ReadId(std::string_view event) {
  while (!event.empty()) {
    const std::size_t end = std::min(event.find('\n'), event.size() - 1);
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end + 1);
    if (!line.starts_with(kIdField))
      continue;
    line.remove_prefix(kIdField.size());
    while (line.starts_with(' '))
      line.remove_prefix(1);
    std::uint64_t id = 0;
    const auto read =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (read.ec == std::errc())
      return id;
  }
  return std::nullopt;
}

/// Removes and returns the first line of `text`, without its end.
std::string_view TakeLine(std::string_view& text) {
  const std::size_t end = std::min(text.find('\n'), text.size());
  std::string_view line = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  if (line.ends_with('\r'))
    line.remove_suffix(1);
  return line;
}

/// Returns whether `text` has a field that events have, or only comments.
bool IsEvent(std::string_view text) {
  bool only_comments = true;
  while (!text.empty()) {
    const std::string_view line = TakeLine(text);
    const std::string_view name = line.substr(0, line.find(':'));
    if (std::find(kEventFields.begin(), kEventFields.end(), name) !=
        kEventFields.end()) {
      return true;
    }
    only_comments = only_comments && name.empty();
  }
  return only_comments;
}

}  // namespace

std::optional<EventSplitter::Event> EventSplitter::Next() {
  const std::size_t length = FirstEventLength(buffer_);
  if (length == std::string::npos)
    return std::nullopt;
  Event event;
  event.bytes = buffer_.substr(0, length);
  buffer_.erase(0, length);
  event.id = ReadId(event.bytes);
  event.is_event = IsEvent(event.bytes);
  return event;
}

}  // namespace briarlead
