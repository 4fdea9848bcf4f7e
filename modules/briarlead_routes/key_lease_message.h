#ifndef BRIARLEAD_ROUTES_KEY_LEASE_MESSAGE_H_
#define BRIARLEAD_ROUTES_KEY_LEASE_MESSAGE_H_

#include <cstdint>

namespace briarlead {

/// Asks the leader of the control group whether the list of routes of the
/// sender is the one in force.
struct KeyLeaseRequest {
  std::uint64_t number = 0;  ///< Identifies the request on its host.
  std::uint64_t routes_version = 0;

  friend bool operator==(const KeyLeaseRequest&,
                         const KeyLeaseRequest&) = default;
};

/// The response to a KeyLeaseRequest, sent only by a leader that is certainly
/// still one.
struct KeyLeaseReply {
  std::uint64_t number = 0;          ///< As in the request.
  std::uint64_t routes_version = 0;  ///< Of the list in force.

  friend bool operator==(const KeyLeaseReply&, const KeyLeaseReply&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_KEY_LEASE_MESSAGE_H_
