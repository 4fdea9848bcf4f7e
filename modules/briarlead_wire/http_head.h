#ifndef BRIARLEAD_WIRE_HTTP_HEAD_H_
#define BRIARLEAD_WIRE_HTTP_HEAD_H_

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarlead {

/// One header field as it stood in the message.
struct HeaderField {
  std::string name;
  std::string value;

  friend bool operator==(const HeaderField&, const HeaderField&) = default;
};

/// The header fields of a message in their order; names compare without case.
class HeaderFields {
 public:
  HeaderFields() = default;
  HeaderFields(std::initializer_list<HeaderField> items) : items_(items) {}

  void Add(std::string_view name, std::string_view value);

  /// Returns the first value of `name`; nullopt when it is absent.
  [[nodiscard]] std::optional<std::string_view> Find(
      std::string_view name) const;

  /// Removes every field called `name`.
  void Remove(std::string_view name);

  /// Removes `name` and puts one field with `value` in its place.
  void Set(std::string_view name, std::string_view value);

  [[nodiscard]] const std::vector<HeaderField>& items() const { return items_; }

 private:
  std::vector<HeaderField> items_;
};

/// Returns whether two header names are the same (ASCII, without case).
bool SameHeaderName(std::string_view left, std::string_view right);

/// Returns whether `text` is a token (RFC 9110, 5.6.2): a method, or the name
/// of a field.
bool IsToken(std::string_view text);

/// Returns whether a field may be written into a message: its name is a token,
/// and its value ends no line.
bool IsWritableField(const HeaderField& field);

/// Removes the fields that concern one connection only: Connection and those
/// that it names, Keep-Alive, Proxy-Connection, TE, Trailer, Upgrade,
/// Transfer-Encoding and Content-Length.
void RemoveHopByHopFields(HeaderFields& fields);

/// First line and fields of a request.
struct RequestHead {
  std::string method;
  std::string target;
  HeaderFields fields;
  bool keeps_connection = true;
  bool takes_chunks = true;  ///< False for HTTP/1.0.

  /// Returns the target without its query.
  [[nodiscard]] std::string_view path() const;
  /// Returns the query without its "?"; may be empty.
  [[nodiscard]] std::string_view query() const;
};

/// First line and fields of a response.
struct ResponseHead {
  int status = 0;
  std::string reason;
  HeaderFields fields;
  bool keeps_connection = true;
  std::optional<std::uint64_t> content_length;
};

/// How the end of a body is marked.
enum class BodyFraming {
  kLength,      ///< Content-Length
  kChunked,     ///< Transfer-Encoding: chunked
  kUntilClose,  ///< The end of the connection.
};

/// Returns the bytes of a request head with a body of `body_bytes`.
std::string WriteRequestHead(const RequestHead& head, std::size_t body_bytes);

/// Returns the bytes of a response head; `length` counts for kLength only.
std::string WriteResponseHead(int status,
                              std::string_view reason,
                              const HeaderFields& fields,
                              BodyFraming framing,
                              std::uint64_t length,
                              bool keeps_connection);

/// Returns `bytes` as one chunk of a chunked body; nothing for no bytes.
std::string WriteChunk(std::string_view bytes);

/// The chunk that ends a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// Returns the standard reason phrase of `status`.
std::string_view ReasonOf(int status);

}  // namespace briarlead

#endif  // BRIARLEAD_WIRE_HTTP_HEAD_H_
