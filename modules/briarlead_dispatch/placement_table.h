#ifndef BRIARLEAD_DISPATCH_PLACEMENT_TABLE_H_
#define BRIARLEAD_DISPATCH_PLACEMENT_TABLE_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/request_id.h"
#include "briarlead_dispatch/active_placement.h"

namespace briarlead {

/// The accepted requests of one dispatcher. Entries keep their address until
/// they are erased.
class PlacementTable {
 public:
  /// Adds an entry for `placement` under the next ticket.
  ActivePlacement& Add(const PlacementRequest& placement);

  /// Returns the entry; null when there is none.
  [[nodiscard]] ActivePlacement* Find(const RequestId& request);
  [[nodiscard]] ActivePlacement* Find(std::uint64_t ticket);

  /// Returns the entry if it is running and `attempt` is its current attempt;
  /// null otherwise.
  [[nodiscard]] ActivePlacement* FindAttempt(const RequestId& request,
                                             std::uint32_t attempt);

  /// Erases the entry with `ticket`.
  void Erase(std::uint64_t ticket);

  /// Returns the tickets of the requests of `host` up to `incarnation`, in
  /// ascending order.
  [[nodiscard]] std::vector<std::uint64_t> TicketsOfHost(
      const HostId& host,
      std::uint64_t incarnation) const;

  /// Returns the tickets of the requests that run on `server`, in ascending
  /// order.
  [[nodiscard]] std::vector<std::uint64_t> TicketsOnServer(
      const BackendServerId& server) const;

  /// Returns the tickets of the queued requests, in ascending order.
  [[nodiscard]] std::vector<std::uint64_t> QueuedTickets() const;

  [[nodiscard]] std::size_t size() const { return by_ticket_.size(); }

 private:
  std::unordered_map<std::uint64_t, ActivePlacement> by_ticket_;
  std::unordered_map<RequestId, std::uint64_t> tickets_;
  std::uint64_t last_ticket_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_PLACEMENT_TABLE_H_
