#ifndef BRIARLEAD_STATE_ORDER_TABLE_H_
#define BRIARLEAD_STATE_ORDER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "briarlead_core/error.h"
#include "briarlead_state/engine_order.h"

namespace briarlead {

/// The replicated record of engine orders: the host that may issue them, the
/// fencing numbers, and the orders themselves. Deterministic.
class OrderTable {
 public:
  /// Maximum number of open orders.
  static constexpr std::size_t kMaxOpenOrders = 20'000;
  /// Number of ended orders that are kept, the newest ones.
  static constexpr std::size_t kMaxEndedOrders = 1024;

  /// Makes the requesting host the issuer, unless the current issuer has a
  /// newer term or is another host with the same term. A repeated request is
  /// granted again.
  BecomeOrderIssuerResult SetIssuer(const BecomeOrderIssuer& request);

  /// Assigns the next fencing number to the order. A repeated request, with the
  /// same term and request number, gets the same fencing number again. Marks
  /// the open orders that this order replaces as superseded.
  IssueOrderResult Issue(const IssueOrder& issue);

  /// Records the final state of an open order. An order that has ended before
  /// keeps its state.
  FinishOrderResult Finish(const FinishOrder& finish);

  /// Returns the issuer; empty when there was none yet.
  [[nodiscard]] const HostId& issuer() const { return issuer_; }
  /// Returns the last fencing number that was assigned.
  [[nodiscard]] std::uint64_t last_fencing() const { return last_fencing_; }
  /// Returns the open orders, keyed by fencing number.
  [[nodiscard]] const std::map<std::uint64_t, OrderRecord>& open() const {
    return open_;
  }
  /// Returns the newest ended orders, keyed by fencing number.
  [[nodiscard]] const std::map<std::uint64_t, OrderRecord>& ended() const {
    return ended_;
  }

  /// Serialises the whole table.
  [[nodiscard]] std::string EncodeSnapshot() const;
  /// Replaces the whole table by a snapshot. Error: kCorrupt; the table is then
  /// unchanged.
  Result<void> RestoreSnapshot(std::string_view bytes);

 private:
  using Orders = std::map<std::uint64_t, OrderRecord>;

  void End(Orders::iterator it, OrderState state);
  /// Marks the open orders that `order` replaces as superseded.
  void Supersede(const EngineOrder& order);
  /// Returns the order that was issued for this request before, or null.
  [[nodiscard]] const OrderRecord* FindRequest(const IssueOrder& issue) const;

  HostId issuer_;
  std::uint64_t issuer_term_ = 0;
  std::uint64_t last_fencing_ = 0;
  Orders open_;
  Orders ended_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_STATE_ORDER_TABLE_H_
