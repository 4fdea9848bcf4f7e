#ifndef BRIARLEAD_WIRE_MESSAGE_PARSER_H_
#define BRIARLEAD_WIRE_MESSAGE_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "briarlead_wire/http_head.h"

namespace briarlead {

/// Bounds of a message that is read.
struct MessageLimits {
  std::uint32_t max_head_bytes = 16384;
  std::uint64_t max_body_bytes = 4194304;
  /// Header fields, trailers with them. A field takes far more memory than its
  /// few bytes on the wire.
  std::size_t max_fields = 256;
};

/// What a parser has come to.
enum class ParseState {
  kHead,      ///< The head isn't complete.
  kBody,      ///< The head is complete, the body isn't.
  kComplete,  ///< The message is complete.
  kInvalid,   ///< The bytes are no HTTP/1.1 message.
  kHeadTooLarge,
  kBodyTooLarge,
};

/// Parses one request. Bytes after its end are not consumed. Trailer fields are
/// dropped: they aren't merged into the head (RFC 9110, 6.5.1). A request whose
/// body could be read in two ways (another transfer encoding than "chunked"),
/// or that names two hosts or an impossible one, or with a line in its head
/// that ends in LF alone, is invalid. A broken line makes a message invalid
/// once the line is whole, whether or not the rest of the head comes.
class RequestParser {
 public:
  explicit RequestParser(const MessageLimits& limits);
  ~RequestParser();

  /// Takes bytes from the start of `bytes`; returns how many. What is left must
  /// be handed in again with what follows it.
  std::size_t Feed(std::string_view bytes);

  [[nodiscard]] ParseState state() const;
  /// The head; whole once state() is kBody or kComplete.
  [[nodiscard]] RequestHead& head();
  /// The body as far as it was read, without its framing.
  [[nodiscard]] std::string& body();
  /// Returns the length of the body that the head states; nullopt for a body in
  /// chunks. Only once the head is whole.
  [[nodiscard]] std::optional<std::uint64_t> content_length() const;
  /// Returns whether the caller waits for "100 Continue".
  [[nodiscard]] bool expects_continue();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Whether a response may have a body, by the method of its request.
enum class ResponseBody {
  kAsFramed,
  kNone,  ///< The answer to HEAD.
};

/// Parses one response. Interim responses (1xx) count as responses. Trailer
/// fields are dropped, as those of requests. A response is invalid if
/// - its status is none (RFC 9110, 15), or switches to a protocol that no
///   request asks for (15.2.2),
/// - its first bytes begin no status line,
/// - a line of its head is folded (RFC 9112, 5.2) or ends in LF alone,
/// - it has a transfer encoding but "chunked", whose coded bytes would be taken
///   for the body, or any in HTTP/1.0 (RFC 9112, 6.1).
class ResponseParser {
 public:
  explicit ResponseParser(const MessageLimits& limits,
                          ResponseBody expected = ResponseBody::kAsFramed);
  ~ResponseParser();

  /// As RequestParser::Feed().
  std::size_t Feed(std::string_view bytes);

  /// Notes that the connection ended in order: completes a body that has no
  /// length; any other message that isn't complete becomes invalid.
  void FeedEnd();

  [[nodiscard]] ParseState state() const;
  /// Returns whether the body has no length: only FeedEnd() completes it.
  [[nodiscard]] bool ends_with_connection() const;
  [[nodiscard]] ResponseHead& head();
  /// Returns the body bytes since the last call, without their framing.
  std::string TakeBody();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_WIRE_MESSAGE_PARSER_H_
