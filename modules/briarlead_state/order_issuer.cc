#include "briarlead_state/order_issuer.h"

#include <algorithm>
#include <utility>

namespace briarlead {

OrderIssuer::OrderIssuer(HostId self, OrderLimits limits)
    : self_(std::move(self)), limits_(limits) {}

void OrderIssuer::OnElected(std::uint64_t term,
                            TimePoint lease_end,
                            TimePoint now) {
  OnDeposed();
  leads_ = true;
  term_ = term;
  lease_end_ = lease_end;
  next_take_ = now;
  Tick(now);
}

void OrderIssuer::OnLease(TimePoint lease_end, TimePoint now) {
  lease_end_ = std::max(lease_end_, lease_end);
  Tick(now);
}

void OrderIssuer::OnDeposed() {
  leads_ = false;
  holds_ = false;
  last_request_ = 0;
  requests_.clear();
  commands_.clear();
}

std::optional<std::uint64_t> OrderIssuer::Request(const EngineOrder& order,
                                                  TimePoint now) {
  if (!leads_)
    return std::nullopt;
  const std::uint64_t number = ++last_request_;
  RequestState& request = requests_[number];
  request.order = order;
  if (holds_)
    ProposeIssue(number, request, now);
  return number;
}

void OrderIssuer::OnTaken(const TakeOrdersResult& result, TimePoint now) {
  if (!leads_ || holds_ || result.term != term_ || !result.held)
    return;
  holds_ = true;
  const Duration old_lease =
      limits_.longest_lease +
      limits_.longest_lease / limits_.clock_drift_divisor;
  unchecked_start_ =
      result.first_holder ? now : now + old_lease + limits_.longest_order;
  for (const OrderRecord& it : result.open_orders)
    Request(it.order, now);
  for (auto& [number, request] : requests_) {
    if (request.fencing == 0)
      ProposeIssue(number, request, now);
  }
}

void OrderIssuer::OnIssued(const IssueOrderResult& result, TimePoint now) {
  if (!holds_ || result.term != term_)
    return;
  const auto it = requests_.find(result.request);
  if (it == requests_.end() || it->second.fencing != 0 ||
      result.verdict != IssueVerdict::kIssued) {
    return;
  }
  it->second.fencing = result.fencing;
  DropSuperseded(it->first);
  TrySend(it->second, now);
}

void OrderIssuer::DropSuperseded(std::uint64_t number) {
  const RequestState& newer = requests_.at(number);
  std::erase_if(requests_, [&newer](const auto& item) {
    const RequestState& it = item.second;
    return it.fencing != 0 && it.fencing < newer.fencing && !it.sent &&
           Supersedes(newer.order, it.order);
  });
}

void OrderIssuer::OnFinished(const FinishOrderResult& result) {
  const auto it = FindFencing(result.fencing);
  if (it != requests_.end() && it->second.unrecorded)
    requests_.erase(it);
}

void OrderIssuer::OnOrderAnswered(std::uint64_t fencing,
                                  bool done,
                                  TimePoint now) {
  const auto it = FindFencing(fencing);
  if (it == requests_.end() || it->second.unrecorded)
    return;
  Finish(it->second, done ? OrderState::kDone : OrderState::kRefused, now);
}

void OrderIssuer::Tick(TimePoint now) {
  if (!leads_)
    return;
  if (!holds_) {
    if (now >= next_take_) {
      Propose(TakeOrders{self_, term_});
      next_take_ = now + limits_.propose_interval;
    }
    return;
  }
  for (auto& [number, request] : requests_)
    TickRequest(number, request, now);
}

void OrderIssuer::TickRequest(std::uint64_t number,
                              RequestState& request,
                              TimePoint now) {
  if (request.fencing == 0) {
    if (now >= request.next_proposal)
      ProposeIssue(number, request, now);
    return;
  }
  if (request.unrecorded) {
    if (now >= request.next_proposal)
      Finish(request, request.unrecorded->state, now);
    return;
  }
  if (!request.sent) {
    TrySend(request, now);
    return;
  }
  if (now >= request.answer_deadline)
    Finish(request, OrderState::kUnanswered, now);
}

void OrderIssuer::TrySend(RequestState& request, TimePoint now) {
  if (request.sent || !MaySend(request.order.checks_fencing, now) ||
      IsServerBusy(request.order)) {
    return;
  }
  request.sent = true;
  request.answer_deadline = now + limits_.longest_order;
  commands_.push_back(SendOrder{request.fencing, request.order,
                                lease_end_ - limits_.send_margin});
}

bool OrderIssuer::IsServerBusy(const EngineOrder& order) const {
  // Orders under way together could overtake each other.
  return !order.checks_fencing &&
         std::any_of(requests_.begin(), requests_.end(),
                     [&order](const auto& item) {
                       const RequestState& it = item.second;
                       return it.sent && !it.unrecorded &&
                              it.order.server == order.server;
                     });
}

bool OrderIssuer::MaySend(bool checks_fencing, TimePoint now) const {
  if (!holds_ || now >= lease_end_ - limits_.send_margin)
    return false;
  return checks_fencing || now >= unchecked_start_;
}

void OrderIssuer::Finish(RequestState& request,
                         OrderState state,
                         TimePoint now) {
  request.unrecorded = FinishOrder{request.fencing, state};
  request.next_proposal = now + limits_.propose_interval;
  Propose(*request.unrecorded);
}

void OrderIssuer::ProposeIssue(std::uint64_t number,
                               RequestState& request,
                               TimePoint now) {
  request.next_proposal = now + limits_.propose_interval;
  Propose(IssueOrder{term_, number, request.order});
}

void OrderIssuer::Propose(
    std::variant<TakeOrders, IssueOrder, FinishOrder> body) {
  commands_.push_back(ProposeOrderCommand{std::move(body)});
}

OrderIssuer::Requests::iterator OrderIssuer::FindFencing(
    std::uint64_t fencing) {
  return std::find_if(
      requests_.begin(), requests_.end(),
      [fencing](const auto& item) { return item.second.fencing == fencing; });
}

std::vector<OrderCommand> OrderIssuer::TakeCommands() {
  return std::exchange(commands_, {});
}

}  // namespace briarlead
