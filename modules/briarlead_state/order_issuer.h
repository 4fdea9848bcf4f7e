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

/// Proposes a command of the issuer for the replicated log.
struct ProposeOrderCommand {
  std::variant<BecomeOrderIssuer, IssueOrder, FinishOrder> body;
};
/// Sends an order to its backend server at once. The connection must be open
/// already, and an order that has not been written by `send_before` must be
/// dropped, so that a process that was suspended doesn't send outdated orders.
struct SendOrder {
  std::uint64_t fencing = 0;
  EngineOrder order;
  TimePoint send_before;
};
using OrderCommand = std::variant<ProposeOrderCommand, SendOrder>;

/// Timing parameters of an OrderIssuer.
struct OrderIssuerOptions {
  /// Maximum length of a leader's lease.
  Duration max_lease = std::chrono::seconds(2);
  /// Maximum time from sending an order until it takes effect or is refused. A
  /// backend server drops a request that is still incomplete by then.
  Duration max_order_time = std::chrono::seconds(30);
  /// No order is sent during this last part of a lease.
  Duration lease_margin = std::chrono::milliseconds(200);
  /// Maximum relative drift between the clocks of two hosts, as a divisor: 100
  /// stands for 1%.
  std::int64_t clock_drift_divisor = 100;
  /// Time after which a proposal without an outcome is repeated.
  Duration proposal_retry_interval = std::chrono::seconds(1);
};

/// Issues engine orders on the control leader, without I/O. It sends orders
/// only while its lease is valid by its own clock. Backend servers that don't
/// check fencing numbers are sent one order at a time, and none until all
/// orders of earlier leaders are certain to have ended.
class OrderIssuer {
 public:
  explicit OrderIssuer(HostId self, OrderIssuerOptions options = {});

  /// This process was elected leader of `term` with a lease until `lease_end`.
  void OnElected(std::uint64_t term, TimePoint lease_end, TimePoint now);

  /// A majority renewed the lease. An end earlier than the known one is
  /// ignored.
  void OnLease(TimePoint lease_end, TimePoint now);

  /// This process is no longer the leader: discards all requests and pending
  /// commands.
  void OnDeposed();

  /// Requests that `order` be issued. Returns the number of the request within
  /// the term, or nothing when this process is not the leader.
  std::optional<std::uint64_t> Request(const EngineOrder& order, TimePoint now);

  /// These take the outcomes that the state machine returned for the commands
  /// that this object proposed.
  void OnIssuerSet(const BecomeOrderIssuerResult& result, TimePoint now);
  void OnIssued(const IssueOrderResult& result, TimePoint now);
  void OnFinished(const FinishOrderResult& result);

  /// The backend server carried out the order (`done`) or refused it.
  void OnOrderAnswered(std::uint64_t fencing, bool done, TimePoint now);

  /// Sends and proposes everything that is due at `now`.
  void Tick(TimePoint now);

  /// Returns and clears the pending commands, in order.
  std::vector<OrderCommand> TakeCommands();

  /// Returns whether an order may be sent at `now` to a server that checks
  /// fencing numbers, or to one that doesn't.
  [[nodiscard]] bool MaySend(bool checks_fencing, TimePoint now) const;

  /// Returns the number of requests that have not ended.
  [[nodiscard]] std::size_t size() const { return requests_.size(); }

 private:
  struct RequestState {
    EngineOrder order;
    std::uint64_t fencing = 0;  ///< Zero until one is assigned.
    bool sent = false;
    TimePoint answer_deadline;
    /// Set when the order has ended and the log has not recorded it yet.
    std::optional<FinishOrder> unrecorded_finish;
    TimePoint next_proposal;
  };
  using Requests = std::map<std::uint64_t, RequestState>;

  void Propose(std::variant<BecomeOrderIssuer, IssueOrder, FinishOrder> body);
  void ProposeIssue(std::uint64_t number, RequestState& request, TimePoint now);
  /// Discards unsent requests that request `number` supersedes.
  void DropSuperseded(std::uint64_t number);
  /// Sends the order if the lease and the other orders allow it.
  void TrySend(RequestState& request, TimePoint now);
  /// Returns whether `order` must wait for an earlier order to the same server.
  /// Always false for servers that check fencing numbers.
  [[nodiscard]] bool HasOrderInFlight(const EngineOrder& order) const;
  /// Proposes to record the final state of the order.
  void Finish(RequestState& request, OrderState state, TimePoint now);
  void TickRequest(std::uint64_t number, RequestState& request, TimePoint now);
  [[nodiscard]] Requests::iterator FindByFencing(std::uint64_t fencing);

  HostId self_;
  OrderIssuerOptions options_;
  bool is_leader_ = false;
  bool is_issuer_ = false;
  std::uint64_t term_ = 0;
  TimePoint lease_end_;
  /// Earliest time to send orders to servers that don't check fencing numbers.
  TimePoint unfenced_start_;
  TimePoint next_issuer_proposal_;
  std::uint64_t last_request_ = 0;
  Requests requests_;
  std::vector<OrderCommand> commands_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_STATE_ORDER_ISSUER_H_
