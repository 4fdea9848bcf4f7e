#include "briarlead_dispatch/placement_table.h"

#include <algorithm>

namespace briarlead {

ActivePlacement& PlacementTable::Add(const PlacementRequest& placement) {
  const std::uint64_t ticket = ++last_ticket_;
  tickets_[placement.request] = ticket;
  ActivePlacement& entry = by_ticket_[ticket];
  entry.ticket = ticket;
  entry.placement = placement;
  entry.attempt = placement.last_attempt;
  return entry;
}

ActivePlacement* PlacementTable::Find(const RequestId& request) {
  const auto it = tickets_.find(request);
  return it != tickets_.end() ? Find(it->second) : nullptr;
}

ActivePlacement* PlacementTable::Find(std::uint64_t ticket) {
  const auto it = by_ticket_.find(ticket);
  return it != by_ticket_.end() ? &it->second : nullptr;
}

ActivePlacement* PlacementTable::FindAttempt(const RequestId& request,
                                             std::uint32_t attempt) {
  ActivePlacement* entry = Find(request);
  if (entry == nullptr || entry->stage == PlacementStage::kQueued)
    return nullptr;
  return entry->attempt == attempt ? entry : nullptr;
}

void PlacementTable::Erase(std::uint64_t ticket) {
  const auto it = by_ticket_.find(ticket);
  if (it == by_ticket_.end())
    return;
  tickets_.erase(it->second.placement.request);
  by_ticket_.erase(it);
}

std::vector<std::uint64_t> PlacementTable::TicketsOfHost(
    const HostId& host,
    std::uint64_t incarnation) const {
  std::vector<std::uint64_t> found;
  for (const auto& [request, ticket] : tickets_) {
    if (request.host == host && request.incarnation <= incarnation)
      found.push_back(ticket);
  }
  std::sort(found.begin(), found.end());
  return found;
}

std::vector<std::uint64_t> PlacementTable::TicketsOnServer(
    const BackendServerId& server) const {
  std::vector<std::uint64_t> found;
  for (const auto& [ticket, entry] : by_ticket_) {
    const bool in_prefill = entry.stage == PlacementStage::kPrefill ||
                            entry.stage == PlacementStage::kTransfer;
    const bool runs = entry.stage != PlacementStage::kQueued;
    if ((in_prefill && entry.prefill_server == server) ||
        (runs && entry.decode_server == server))
      found.push_back(ticket);
  }
  std::sort(found.begin(), found.end());
  return found;
}

std::vector<std::uint64_t> PlacementTable::QueuedTickets() const {
  std::vector<std::uint64_t> found;
  for (const auto& [ticket, entry] : by_ticket_) {
    if (entry.stage == PlacementStage::kQueued)
      found.push_back(ticket);
  }
  std::sort(found.begin(), found.end());
  return found;
}

}  // namespace briarlead
