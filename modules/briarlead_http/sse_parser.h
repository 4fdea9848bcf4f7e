#ifndef BRIARLEAD_HTTP_SSE_PARSER_H_
#define BRIARLEAD_HTTP_SSE_PARSER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "briarlead_core/error.h"

namespace briarlead {

/// One server-sent event. The views hold during the callback only.
struct SseEvent {
  std::string_view name;  ///< Its "event" field; empty when it has none.
  std::string_view data;  ///< Its "data" lines, joined by line feeds.
};

/// Reads a text/event-stream that comes in parts of any size.
class SseParser {
 public:
  using Handler = std::function<void(const SseEvent& event)>;

  static constexpr std::size_t kDefaultMaxEventBytes = 1 << 20;

  /// Refuses an event of more than `max_event_bytes`.
  explicit SseParser(std::size_t max_event_bytes = kDefaultMaxEventBytes)
      : max_event_bytes_(max_event_bytes) {}

  /// Takes the next part and calls `handler` for each event that ends in it.
  /// Fails with kTooLarge for an event beyond the limit; after a failure every
  /// call fails.
  Result<void> Feed(std::string_view part, const Handler& handler);

  /// Returns true when the stream ended between two events.
  [[nodiscard]] bool at_event_boundary() const;

 private:
  void TakeLine(std::string_view line, const Handler& handler);
  [[nodiscard]] bool WithinLimit(std::size_t more) const;

  std::size_t max_event_bytes_;
  std::string partial_line_;
  std::string name_;
  std::string data_;
  bool has_data_ = false;
  bool skip_line_feed_ = false;
  bool failed_ = false;
};

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_SSE_PARSER_H_
