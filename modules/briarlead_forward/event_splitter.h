#ifndef BRIARLEAD_FORWARD_EVENT_SPLITTER_H_
#define BRIARLEAD_FORWARD_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace briarlead {

/// Splits a stream of server-sent events into complete events. Only complete
/// events are forwarded, so a stream that breaks off within an event can be
/// resumed from another server.
class EventSplitter {
 public:
  /// Maximum length of an event in bytes.
  static constexpr std::size_t kMaxEventBytes = 262144;

  /// A complete event, including the blank line that ends it.
  struct Event {
    std::string bytes;
    std::optional<std::uint64_t> id;
    /// Whether it has a field that events have, or nothing but comments. Else
    /// the bytes are something that is no event, such as an error's text.
    bool is_event = false;
  };

  /// Appends the next bytes of the stream.
  void Feed(std::string_view bytes) { buffer_.append(bytes); }

  /// Removes and returns the next complete event; nullopt if there is none.
  std::optional<Event> Next();

  /// Returns whether the incomplete event exceeds kMaxEventBytes. To be called
  /// once Next() returns no further event.
  [[nodiscard]] bool IsOverlong() const {
    return buffer_.size() > kMaxEventBytes;
  }

  /// Returns whether no incomplete event is buffered.
  [[nodiscard]] bool AtBoundary() const { return buffer_.empty(); }

  /// Discards a partially received event.
  void Reset() { buffer_.clear(); }

 private:
  std::string buffer_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_EVENT_SPLITTER_H_
