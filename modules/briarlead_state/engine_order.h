#ifndef BRIARLEAD_STATE_ENGINE_ORDER_H_
#define BRIARLEAD_STATE_ENGINE_ORDER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "briarlead_core/identifiers.h"

namespace briarlead {

/// The kinds of engine order.
enum class OrderKind : std::uint8_t {
  kLoad,     ///< Load a model or an adapter.
  kUnload,   ///< Unload a model or an adapter.
  kVersion,  ///< Serve another version of a model.
  kRole,     ///< Become a prefill or a decode engine.
};
inline constexpr OrderKind kLastOrderKind = OrderKind::kRole;

/// An instruction to one backend server.
struct EngineOrder {
  OrderKind kind = OrderKind::kLoad;
  BackendServerId server;
  ModelId model;
  std::string argument;  ///< Adapter, version or role, depending on `kind`.
  /// Whether the server rejects orders with an outdated fencing number.
  bool checks_fencing = false;

  friend bool operator==(const EngineOrder&, const EngineOrder&) = default;
};

/// Returns whether `newer` replaces `older`: both are for the same server, kind
/// and model.
inline bool Supersedes(const EngineOrder& newer, const EngineOrder& older) {
  return newer.server == older.server && newer.kind == older.kind &&
         newer.model == older.model;
}

/// Command that makes `host`, the leader of `term`, the only issuer of engine
/// orders.
struct BecomeOrderIssuer {
  HostId host;
  std::uint64_t term = 0;

  friend bool operator==(const BecomeOrderIssuer&,
                         const BecomeOrderIssuer&) = default;
};

/// Command that assigns a fencing number to an order, provided that the leader
/// of `term` is still the issuer.
struct IssueOrder {
  std::uint64_t term = 0;
  std::uint64_t request = 0;  ///< Number of the request within the term.
  EngineOrder order;

  friend bool operator==(const IssueOrder&, const IssueOrder&) = default;
};

/// The state of an order.
enum class OrderState : std::uint8_t {
  kOpen,  ///< Issued, outcome not recorded yet.
  kDone,
  kRefused,     ///< The server refused it.
  kUnanswered,  ///< No answer within OrderIssuerOptions::max_order_time.
  kSuperseded,  ///< Replaced by a later order, see Supersedes().
};
inline constexpr OrderState kLastOrderState = OrderState::kSuperseded;

/// Command that records the final state of an order.
struct FinishOrder {
  std::uint64_t fencing = 0;
  OrderState state = OrderState::kDone;

  friend bool operator==(const FinishOrder&, const FinishOrder&) = default;
};

/// An order with the fencing number that was assigned to it.
struct OrderRecord {
  std::uint64_t fencing = 0;
  std::uint64_t term = 0;
  std::uint64_t request = 0;
  EngineOrder order;
  OrderState state = OrderState::kOpen;

  friend bool operator==(const OrderRecord&, const OrderRecord&) = default;
};

/// The outcome of a BecomeOrderIssuer.
struct BecomeOrderIssuerResult {
  bool granted = false;          ///< The requesting leader is the issuer now.
  std::uint64_t term = 0;        ///< Copied from the command.
  bool is_first_issuer = false;  ///< There was no issuer before.
  /// Open orders that were issued in earlier terms.
  std::vector<OrderRecord> open_orders;

  friend bool operator==(const BecomeOrderIssuerResult&,
                         const BecomeOrderIssuerResult&) = default;
};

/// The decision on an IssueOrder.
enum class IssueVerdict : std::uint8_t {
  kIssued,
  kNotIssuer,  ///< The leader of another term is the issuer.
  kFull,       ///< OrderTable::kMaxOpenOrders is reached.
};
inline constexpr IssueVerdict kLastIssueVerdict = IssueVerdict::kFull;

/// The outcome of an IssueOrder.
struct IssueOrderResult {
  IssueVerdict verdict = IssueVerdict::kNotIssuer;
  std::uint64_t term = 0;
  std::uint64_t request = 0;
  std::uint64_t fencing = 0;  ///< Zero unless kIssued.

  friend bool operator==(const IssueOrderResult&,
                         const IssueOrderResult&) = default;
};

/// The outcome of a FinishOrder.
struct FinishOrderResult {
  std::uint64_t fencing = 0;
  OrderState state = OrderState::kOpen;  ///< After the command.

  friend bool operator==(const FinishOrderResult&,
                         const FinishOrderResult&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_STATE_ENGINE_ORDER_H_
