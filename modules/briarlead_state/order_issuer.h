#ifndef BRIARLEAD_STATE_ORDER_ISSUER_H_
#define BRIARLEAD_STATE_ORDER_ISSUER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_state/engine_order.h"

namespace briarlead {

/// Puts a command of the issuer into the log.
struct ProposeOrderCommand {
  std::variant<TakeOrders, IssueOrder, FinishOrder> body;
};
/// Sends an order to its backend server, now. The connection must have been
/// opened before, and an order that was not written by `send_before` is
/// dropped, so that a process that stood still sends nothing late.
struct SendOrder {
  std::uint64_t fencing = 0;
  EngineOrder order;
  TimePoint send_before;
};
using OrderCommand = std::variant<ProposeOrderCommand, SendOrder>;

/// Times of an OrderIssuer.
struct OrderLimits {
  /// Longest lease that any leader holds.
  Duration longest_lease = std::chrono::seconds(2);
  /// Longest time from the sending of an order to its effect or its refusal;
  /// a backend server drops a request that is not complete by then.
  Duration longest_order = std::chrono::seconds(30);
  /// Time before the end of the lease from which no order is sent.
  Duration send_margin = std::chrono::milliseconds(200);
  /// Most that two clocks' rates differ, as one part in this many.
  std::int64_t clock_drift_divisor = 100;
  /// Time after which a proposal without an outcome is made again.
  Duration propose_interval = std::chrono::seconds(1);
};

/// Issues engine orders as the control leader, without I/O. Sends only inside
/// its lease by its own clock; to backend servers that don't check fencing
/// numbers only after every order of an earlier leader has ended, and one at
/// a time.
class OrderIssuer {
 public:
  explicit OrderIssuer(HostId self, OrderLimits limits = {});

  /// This process leads `term`; it may act until `lease_end`.
  void OnElected(std::uint64_t term, TimePoint lease_end, TimePoint now);

  /// The lease was renewed by a majority; an earlier end than known is dropped.
  void OnLease(TimePoint lease_end, TimePoint now);

  /// This process leads no more: forgets everything that was not sent.
  void OnDeposed();

  /// Wants `order` done; returns the number of the request within the term.
  /// Dropped unless this process leads.
  std::optional<std::uint64_t> Request(const EngineOrder& order, TimePoint now);

  /// Outcomes of the issuer's own proposals, as the state machine gave them.
  void OnTaken(const TakeOrdersResult& result, TimePoint now);
  void OnIssued(const IssueOrderResult& result, TimePoint now);
  void OnFinished(const FinishOrderResult& result);

  /// The backend server did the order, or refused it.
  void OnOrderAnswered(std::uint64_t fencing, bool done, TimePoint now);

  /// Sends and proposes what is due.
  void Tick(TimePoint now);

  /// Hands over the commands in order, and forgets them.
  std::vector<OrderCommand> TakeCommands();

  /// Returns whether an order may be sent at `now` to a server that does or
  /// doesn't check fencing numbers.
  [[nodiscard]] bool MaySend(bool checks_fencing, TimePoint now) const;

  /// Returns the number of requests that have not ended.
  [[nodiscard]] std::size_t size() const { return requests_.size(); }

 private:
  struct RequestState {
    EngineOrder order;
    std::uint64_t fencing = 0;  ///< Zero until the log gave one.
    bool sent = false;
    TimePoint answer_deadline;
    std::optional<FinishOrder> unrecorded;
    TimePoint next_proposal;
  };
  using Requests = std::map<std::uint64_t, RequestState>;

  void Propose(std::variant<TakeOrders, IssueOrder, FinishOrder> body);
  void ProposeIssue(std::uint64_t number, RequestState& request, TimePoint now);
  /// Forgets what `number` takes the place of and was not sent yet.
  void DropSuperseded(std::uint64_t number);
  void TrySend(RequestState& request, TimePoint now);
  /// Whether an order is under way to a server that doesn't check fencing
  /// numbers.
  [[nodiscard]] bool IsServerBusy(const EngineOrder& order) const;
  void Finish(RequestState& request, OrderState state, TimePoint now);
  void TickRequest(std::uint64_t number, RequestState& request, TimePoint now);
  [[nodiscard]] Requests::iterator FindFencing(std::uint64_t fencing);

  HostId self_;
  OrderLimits limits_;
  bool leads_ = false;
  bool holds_ = false;
  std::uint64_t term_ = 0;
  TimePoint lease_end_;
  /// From when servers that don't check fencing numbers may be sent orders.
  TimePoint unchecked_start_;
  TimePoint next_take_;
  std::uint64_t last_request_ = 0;
  Requests requests_;
  std::vector<OrderCommand> commands_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_STATE_ORDER_ISSUER_H_
