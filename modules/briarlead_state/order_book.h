#ifndef BRIARLEAD_STATE_ORDER_BOOK_H_
#define BRIARLEAD_STATE_ORDER_BOOK_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "briarlead_core/error.h"
#include "briarlead_state/engine_order.h"

namespace briarlead {

/// The replicated record of engine orders: who may issue them, the fencing
/// numbers, and the orders themselves. Deterministic.
class OrderBook {
 public:
  /// Most orders that may be open at once.
  static constexpr std::size_t kMaxOpenOrders = 20'000;
  /// Ended orders that are kept for operators.
  static constexpr std::size_t kMaxEndedOrders = 1024;

  /// Makes the asker the holder when its term is newer than the holder's.
  TakeOrdersResult Take(const TakeOrders& take);

  /// Gives the order the next fencing number; the same number again for the
  /// same request of a term. Supersedes open orders of its server and kind.
  IssueOrderResult Issue(const IssueOrder& issue);

  /// Ends an open order.
  FinishOrderResult Finish(const FinishOrder& finish);

  /// Returns the holder; empty when there was none.
  [[nodiscard]] const HostId& holder() const { return holder_; }
  /// Returns the newest fencing number given.
  [[nodiscard]] std::uint64_t last_fencing() const { return last_fencing_; }
  /// Returns the open orders by fencing number.
  [[nodiscard]] const std::map<std::uint64_t, OrderRecord>& open() const {
    return open_;
  }
  /// Returns the newest ended orders by fencing number.
  [[nodiscard]] const std::map<std::uint64_t, OrderRecord>& ended() const {
    return ended_;
  }

  [[nodiscard]] std::string EncodeSnapshot() const;
  /// Replaces everything; on kCorrupt nothing is changed.
  Result<void> RestoreSnapshot(std::string_view snapshot);

 private:
  using Orders = std::map<std::uint64_t, OrderRecord>;

  void End(Orders::iterator it, OrderState state);
  void Supersede(const EngineOrder& order);
  [[nodiscard]] const OrderRecord* FindRequest(const IssueOrder& issue) const;

  HostId holder_;
  std::uint64_t holder_term_ = 0;
  std::uint64_t last_fencing_ = 0;
  Orders open_;
  Orders ended_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_STATE_ORDER_BOOK_H_
