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

/// Identifies a caller's request across all hosts: the entry host that received
/// it, that host's incarnation (a number that grows with each start of its
/// process) and a sequence number within the incarnation.
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

/// Parses the form that ToString() returns; returns nullopt for other text.
inline std::optional<RequestId> ParseRequestId(std::string_view text) {
  const std::size_t last_dot = text.rfind('.');
  if (last_dot == std::string_view::npos || last_dot == 0)
    return std::nullopt;
  const std::size_t middle_dot = text.rfind('.', last_dot - 1);
  if (middle_dot == std::string_view::npos || middle_dot == 0)
    return std::nullopt;
  RequestId id;
  id.host = HostId(std::string(text.substr(0, middle_dot)));
  const auto parse_number = [](std::string_view digits, std::uint64_t& number) {
    const auto [end, ec] =
        std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return ec == std::errc() && end == digits.data() + digits.size();
  };
  if (!parse_number(text.substr(middle_dot + 1, last_dot - middle_dot - 1),
                    id.incarnation) ||
      !parse_number(text.substr(last_dot + 1), id.sequence)) {
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
