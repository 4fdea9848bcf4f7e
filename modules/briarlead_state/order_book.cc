#include "briarlead_state/order_book.h"

#include <utility>

#include "briarlead_state/state_serialization.h"

namespace briarlead {
namespace {

/// The parts of a book in the order of its snapshot.
struct OrderBookImage {
  HostId holder;
  std::uint64_t holder_term = 0;
  std::uint64_t last_fencing = 0;
  std::vector<OrderRecord> open;
  std::vector<OrderRecord> ended;
};

template <typename Archive>
void serialize(Archive& archive, OrderBookImage& it) {
  archive(it.holder, it.holder_term, it.last_fencing);
  SerializeEach(archive, it.open);
  SerializeEach(archive, it.ended);
}

Result<std::map<std::uint64_t, OrderRecord>> ByFencing(
    const std::vector<OrderRecord>& records,
    bool open,
    std::uint64_t last_fencing) {
  std::map<std::uint64_t, OrderRecord> orders;
  for (const OrderRecord& it : records) {
    const bool in_order = orders.empty() || orders.rbegin()->first < it.fencing;
    const bool state_fits = open == (it.state == OrderState::kOpen);
    if (!in_order || !state_fits || it.fencing > last_fencing)
      return Fail(ErrorCode::kCorrupt, "orders out of order");
    orders.emplace(it.fencing, it);
  }
  return orders;
}

}  // namespace

TakeOrdersResult OrderBook::Take(const TakeOrders& take) {
  TakeOrdersResult result;
  result.term = take.term;
  if (take.term < holder_term_ ||
      (take.term == holder_term_ && take.host != holder_)) {
    return result;
  }
  result.held = true;
  result.first_holder = holder_.empty();
  holder_ = take.host;
  holder_term_ = take.term;
  for (const auto& [fencing, record] : open_) {
    if (record.term != take.term)
      result.open_orders.push_back(record);
  }
  return result;
}

IssueOrderResult OrderBook::Issue(const IssueOrder& issue) {
  IssueOrderResult result{IssueVerdict::kNotHolder, issue.term, issue.request,
                          0};
  if (holder_.empty() || issue.term != holder_term_)
    return result;
  if (const OrderRecord* known = FindRequest(issue)) {
    result.verdict = IssueVerdict::kIssued;
    result.fencing = known->fencing;
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

const OrderRecord* OrderBook::FindRequest(const IssueOrder& issue) const {
  for (const Orders* orders : {&open_, &ended_}) {
    for (const auto& [fencing, record] : *orders) {
      if (record.term == issue.term && record.request == issue.request)
        return &record;
    }
  }
  return nullptr;
}

void OrderBook::Supersede(const EngineOrder& order) {
  for (auto it = open_.begin(); it != open_.end();) {
    const auto current = it++;
    if (Supersedes(order, current->second.order))
      End(current, OrderState::kSuperseded);
  }
}

FinishOrderResult OrderBook::Finish(const FinishOrder& finish) {
  if (const auto it = open_.find(finish.fencing); it != open_.end()) {
    if (finish.state != OrderState::kOpen)
      End(it, finish.state);
    return {finish.fencing, finish.state};
  }
  const auto it = ended_.find(finish.fencing);
  return {finish.fencing, it == ended_.end() ? finish.state : it->second.state};
}

void OrderBook::End(Orders::iterator it, OrderState state) {
  it->second.state = state;
  ended_.insert(open_.extract(it));
  if (ended_.size() > kMaxEndedOrders)
    ended_.erase(ended_.begin());
}

std::string OrderBook::EncodeSnapshot() const {
  OrderBookImage image{holder_, holder_term_, last_fencing_, {}, {}};
  for (const auto& [fencing, record] : open_)
    image.open.push_back(record);
  for (const auto& [fencing, record] : ended_)
    image.ended.push_back(record);
  return EncodeBytes(image);
}

Result<void> OrderBook::RestoreSnapshot(std::string_view snapshot) {
  BOOST_OUTCOME_TRY(const OrderBookImage image,
                    DecodeBytes<OrderBookImage>(snapshot));
  BOOST_OUTCOME_TRY(Orders open,
                    ByFencing(image.open, true, image.last_fencing));
  BOOST_OUTCOME_TRY(Orders ended,
                    ByFencing(image.ended, false, image.last_fencing));
  holder_ = image.holder;
  holder_term_ = image.holder_term;
  last_fencing_ = image.last_fencing;
  open_ = std::move(open);
  ended_ = std::move(ended);
  return outcome::success();
}

}  // namespace briarlead
