#ifndef BRIARLEAD_CORE_ENDPOINT_H_
#define BRIARLEAD_CORE_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <string>

namespace briarlead {

/// An IP address in text form and a port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// Returns "address:port".
inline std::string ToString(const Endpoint& endpoint) {
  return endpoint.address + ":" + std::to_string(endpoint.port);
}

}  // namespace briarlead

#endif  // BRIARLEAD_CORE_ENDPOINT_H_
