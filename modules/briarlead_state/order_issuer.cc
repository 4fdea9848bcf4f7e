#include "briarlead_state/order_issuer.h"

#include <algorithm>
#include <utility>

namespace briarlead {

OrderIssuer::OrderIssuer(HostId self, OrderIssuerOptions options)
    : self_(std::move(self)), options_(options) {}

void OrderIssuer::OnElected(std::uint64_t term,
                            TimePoint lease_end,
                            TimePoint now) {
  OnDeposed();
  is_leader_ = true;
  term_ = term;
  lease_end_ = lease_end;
  next_issuer_proposal_ = now;
  Tick(now);
}

void OrderIssuer::OnLease(TimePoint lease_end, TimePoint now) {
  lease_end_ = std::max(lease_end_, lease_end);
  Tick(now);
}

void OrderIssuer::OnDeposed() {
  is_leader_ = false;
  is_issuer_ = false;
  last_request_ = 0;
  requests_.clear();
  commands_.clear();
}

std::optional<std::uint64_t> OrderIssuer::Request(const EngineOrder& order,
                                                  TimePoint now) {
  if (!is_leader_)
    return std::nullopt;
  const std::uint64_t number = ++last_request_;
  RequestState& request = requests_[number];
  request.order = order;
  if (is_issuer_)
    ProposeIssue(number, request, now);
  return number;
}

void OrderIssuer::OnIssuerSet(const BecomeOrderIssuerResult& result,
                              TimePoint now) {
  if (!is_leader_ || is_issuer_ || result.term != term_ || !result.granted)
    return;
  is_issuer_ = true;
  const Duration max_old_lease =
      options_.max_lease + options_.max_lease / options_.clock_drift_divisor;
  unfenced_start_ = result.is_first_issuer
                        ? now
                        : now + max_old_lease + options_.max_order_time;
  for (const OrderRecord& it : result.open_orders)
    Request(it.order, now);
  for (auto& [number, request] : requests_) {
    if (request.fencing == 0)
      ProposeIssue(number, request, now);
  }
}

void OrderIssuer::OnIssued(const IssueOrderResult& result, TimePoint now) {
  if (!is_issuer_ || result.term != term_)
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
  const auto it = FindByFencing(result.fencing);
  if (it != requests_.end() && it->second.unrecorded_finish)
    requests_.erase(it);
}

void OrderIssuer::OnOrderAnswered(std::uint64_t fencing,
                                  bool done,
                                  TimePoint now) {
  const auto it = FindByFencing(fencing);
  if (it == requests_.end() || it->second.unrecorded_finish)
    return;
  Finish(it->second, done ? OrderState::kDone : OrderState::kRefused, now);
}

void OrderIssuer::Tick(TimePoint now) {
  if (!is_leader_)
    return;
  if (!is_issuer_) {
    if (now >= next_issuer_proposal_) {
      Propose(BecomeOrderIssuer{self_, term_});
      next_issuer_proposal_ = now + options_.proposal_retry_interval;
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
  if (request.unrecorded_finish) {
    if (now >= request.next_proposal)
      Finish(request, request.unrecorded_finish->state, now);
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
      HasOrderInFlight(request.order)) {
    return;
  }
  request.sent = true;
  request.answer_deadline = now + options_.max_order_time;
  commands_.push_back(SendOrder{request.fencing, request.order,
                                lease_end_ - options_.lease_margin});
}

bool OrderIssuer::HasOrderInFlight(const EngineOrder& order) const {
  // Without fencing, two orders in flight could take effect in either order.
  return !order.checks_fencing &&
         std::any_of(requests_.begin(), requests_.end(),
                     [&order](const auto& item) {
                       const RequestState& it = item.second;
                       return it.sent && !it.unrecorded_finish &&
                              it.order.server == order.server;
                     });
}

bool OrderIssuer::MaySend(bool checks_fencing, TimePoint now) const {
  if (!is_issuer_ || now >= lease_end_ - options_.lease_margin)
    return false;
  return checks_fencing || now >= unfenced_start_;
}

void OrderIssuer::Finish(RequestState& request,
                         OrderState state,
                         TimePoint now) {
  request.unrecorded_finish = FinishOrder{request.fencing, state};
  request.next_proposal = now + options_.proposal_retry_interval;
  Propose(*request.unrecorded_finish);
}

void OrderIssuer::ProposeIssue(std::uint64_t number,
                               RequestState& request,
                               TimePoint now) {
  request.next_proposal = now + options_.proposal_retry_interval;
  Propose(IssueOrder{term_, number, request.order});
}

void OrderIssuer::Propose(
    std::variant<BecomeOrderIssuer, IssueOrder, FinishOrder> body) {
  commands_.push_back(ProposeOrderCommand{std::move(body)});
}

OrderIssuer::Requests::iterator OrderIssuer::FindByFencing(
    std::uint64_t fencing) {
  return std::find_if(
      requests_.begin(), requests_.end(),
      [fencing](const auto& item) { return item.second.fencing == fencing; });
}

std::vector<OrderCommand> OrderIssuer::TakeCommands() {
  return std::exchange(commands_, {});
}

}  // namespace briarlead
