#include "briarlead_state/order_table.h"

#include <utility>

#include "briarlead_state/state_serialization.h"

namespace briarlead {
namespace {

/// The fields of an OrderTable in the order in which they are serialised.
struct OrderTableSnapshot {
  HostId issuer;
  std::uint64_t issuer_term = 0;
  std::uint64_t last_fencing = 0;
  std::vector<OrderRecord> open;
  std::vector<OrderRecord> ended;
};

template <typename Archive>
void serialize(Archive& archive, OrderTableSnapshot& it) {
  archive(it.issuer, it.issuer_term, it.last_fencing);
  SerializeEach(archive, it.open);
  SerializeEach(archive, it.ended);
}

/// Returns `records` keyed by fencing number. They must be sorted, must be open
/// orders if `open` and ended ones otherwise, and must not be above
/// `last_fencing`; kCorrupt otherwise.
Result<std::map<std::uint64_t, OrderRecord>> ByFencing(
    const std::vector<OrderRecord>& records,
    bool open,
    std::uint64_t last_fencing) {
  std::map<std::uint64_t, OrderRecord> orders;
  for (const OrderRecord& it : records) {
    const bool is_sorted =
        orders.empty() || orders.rbegin()->first < it.fencing;
    const bool state_matches = open == (it.state == OrderState::kOpen);
    if (!is_sorted || !state_matches || it.fencing > last_fencing)
      return Fail(ErrorCode::kCorrupt, "engine orders are inconsistent");
    orders.emplace(it.fencing, it);
  }
  return orders;
}

}  // namespace

BecomeOrderIssuerResult OrderTable::SetIssuer(
    const BecomeOrderIssuer& request) {
  BecomeOrderIssuerResult result;
  result.term = request.term;
  if (request.term < issuer_term_ ||
      (request.term == issuer_term_ && request.host != issuer_)) {
    return result;
  }
  result.granted = true;
  result.is_first_issuer = issuer_.empty();
  issuer_ = request.host;
  issuer_term_ = request.term;
  for (const auto& [fencing, record] : open_) {
    if (record.term != request.term)
      result.open_orders.push_back(record);
  }
  return result;
}

IssueOrderResult OrderTable::Issue(const IssueOrder& issue) {
  IssueOrderResult result{IssueVerdict::kNotIssuer, issue.term, issue.request,
                          0};
  if (issuer_.empty() || issue.term != issuer_term_)
    return result;
  if (const OrderRecord* previous = FindRequest(issue)) {
    result.verdict = IssueVerdict::kIssued;
    result.fencing = previous->fencing;
    return result;
  }
  Supersede(issue.order);
  if (open_.size() >= kMaxOpenOrders) {
    result.verdict = IssueVerdict::kFull;
    return result;
  }
  result.verdict = IssueVerdict::kIssued;
  result.fencing = ++last_fencing_;
  open_.emplace(result.fencing,
                OrderRecord{result.fencing, issue.term, issue.request,
                            issue.order, OrderState::kOpen});
  return result;
}

const OrderRecord* OrderTable::FindRequest(const IssueOrder& issue) const {
  for (const Orders* orders : {&open_, &ended_}) {
    for (const auto& [fencing, record] : *orders) {
      if (record.term == issue.term && record.request == issue.request)
        return &record;
    }
  }
  return nullptr;
}

void OrderTable::Supersede(const EngineOrder& order) {
  for (auto it = open_.begin(); it != open_.end();) {
    const auto current = it++;
    if (Supersedes(order, current->second.order))
      End(current, OrderState::kSuperseded);
  }
}

FinishOrderResult OrderTable::Finish(const FinishOrder& finish) {
  if (const auto it = open_.find(finish.fencing); it != open_.end()) {
    if (finish.state != OrderState::kOpen)
      End(it, finish.state);
    return {finish.fencing, finish.state};
  }
  const auto it = ended_.find(finish.fencing);
  return {finish.fencing, it == ended_.end() ? finish.state : it->second.state};
}

void OrderTable::End(Orders::iterator it, OrderState state) {
  it->second.state = state;
  ended_.insert(open_.extract(it));
  if (ended_.size() > kMaxEndedOrders)
    ended_.erase(ended_.begin());
}

std::string OrderTable::EncodeSnapshot() const {
  OrderTableSnapshot snapshot{issuer_, issuer_term_, last_fencing_, {}, {}};
  for (const auto& [fencing, record] : open_)
    snapshot.open.push_back(record);
  for (const auto& [fencing, record] : ended_)
    snapshot.ended.push_back(record);
  return EncodeBytes(snapshot);
}

Result<void> OrderTable::RestoreSnapshot(std::string_view bytes) {
  BOOST_OUTCOME_TRY(const OrderTableSnapshot snapshot,
                    DecodeBytes<OrderTableSnapshot>(bytes));
  BOOST_OUTCOME_TRY(Orders open,
                    ByFencing(snapshot.open, true, snapshot.last_fencing));
  BOOST_OUTCOME_TRY(Orders ended,
                    ByFencing(snapshot.ended, false, snapshot.last_fencing));
  issuer_ = snapshot.issuer;
  issuer_term_ = snapshot.issuer_term;
  last_fencing_ = snapshot.last_fencing;
  open_ = std::move(open);
  ended_ = std::move(ended);
  return outcome::success();
}

}  // namespace briarlead
