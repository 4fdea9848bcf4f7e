#ifndef BRIARLEAD_CORE_REQUEST_ID_H_
#define BRIARLEAD_CORE_REQUEST_ID_H_

#include <charconv>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "briarlead_core/identifiers.h"

namespace briarlead {

/// Names one caller's request in the whole fleet: the entry host that took it,
/// that host's incarnation (a number that grows with each start of its
/// process) and a sequence number within it.
struct RequestId {
  HostId host;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;

  friend auto operator<=>(const RequestId&, const RequestId&) = default;
};

/// Returns "host.incarnation.sequence", the form used in logs and headers.
inline std::string ToString(const RequestId& id) {
  return id.host.value() + "." + std::to_string(id.incarnation) + "." +
         std::to_string(id.sequence);
}

/// Reads the form that ToString() gives; nullopt when `text` is not one.
inline std::optional<RequestId> ParseRequestId(std::string_view text) {
  const std::size_t last = text.rfind('.');
  if (last == std::string_view::npos || last == 0)
    return std::nullopt;
  const std::size_t middle = text.rfind('.', last - 1);
  if (middle == std::string_view::npos || middle == 0)
    return std::nullopt;
  RequestId id;
  id.host = HostId(std::string(text.substr(0, middle)));
  const auto read = [](std::string_view digits, std::uint64_t& number) {
    const auto [end, ec] =
        std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return ec == std::errc() && end == digits.data() + digits.size();
  };
  if (!read(text.substr(middle + 1, last - middle - 1), id.incarnation) ||
      !read(text.substr(last + 1), id.sequence)) {
    return std::nullopt;
  }
  return id;
}

}  // namespace briarlead

template <>
struct std::hash<briarlead::RequestId> {
  std::size_t operator()(const briarlead::RequestId& id) const noexcept {
    std::size_t seed = std::hash<briarlead::HostId>()(id.host);
    seed = seed * 1099511628211U ^ id.incarnation;
    return seed * 1099511628211U ^ id.sequence;
  }
};

#endif  // BRIARLEAD_CORE_REQUEST_ID_H_
