#ifndef BRIARLEAD_STATE_ENGINE_ORDER_H_
#define BRIARLEAD_STATE_ENGINE_ORDER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "briarlead_core/identifiers.h"

namespace briarlead {

/// What an engine is told to do.
enum class OrderKind : std::uint8_t {
  kLoad,     ///< Load a model or an adapter.
  kUnload,   ///< Unload it.
  kVersion,  ///< Serve another version.
  kRole,     ///< Become a prefill or a decode engine.
};
inline constexpr OrderKind kLastOrderKind = OrderKind::kRole;

/// One order for one backend server.
struct EngineOrder {
  OrderKind kind = OrderKind::kLoad;
  BackendServerId server;
  ModelId model;
  std::string argument;  ///< Adapter, version or role, by kind.
  /// Whether the server refuses orders with an old fencing number.
  bool checks_fencing = false;

  friend bool operator==(const EngineOrder&, const EngineOrder&) = default;
};

/// Returns whether `newer` takes the place of `older` on the same server.
inline bool Supersedes(const EngineOrder& newer, const EngineOrder& older) {
  return newer.server == older.server && newer.kind == older.kind &&
         newer.model == older.model;
}

/// Makes `host` the one that issues orders, as leader of `term`.
struct TakeOrders {
  HostId host;
  std::uint64_t term = 0;

  friend bool operator==(const TakeOrders&, const TakeOrders&) = default;
};

/// Gives an order its fencing number, if `term` still holds the orders.
struct IssueOrder {
  std::uint64_t term = 0;
  std::uint64_t request = 0;  ///< Number of the request within the term.
  EngineOrder order;

  friend bool operator==(const IssueOrder&, const IssueOrder&) = default;
};

/// Where an order stands.
enum class OrderState : std::uint8_t {
  kOpen,
  kDone,
  kRefused,     ///< The server refused it.
  kUnanswered,  ///< No answer came in the longest time of an order.
  kSuperseded,  ///< A later order for the same server and kind took its place.
};
inline constexpr OrderState kLastOrderState = OrderState::kSuperseded;

/// Records how an order ended.
struct FinishOrder {
  std::uint64_t fencing = 0;
  OrderState state = OrderState::kDone;

  friend bool operator==(const FinishOrder&, const FinishOrder&) = default;
};

/// An order that was given a fencing number.
struct OrderRecord {
  std::uint64_t fencing = 0;
  std::uint64_t term = 0;
  std::uint64_t request = 0;
  EngineOrder order;
  OrderState state = OrderState::kOpen;

  friend bool operator==(const OrderRecord&, const OrderRecord&) = default;
};

/// What became of a TakeOrders.
struct TakeOrdersResult {
  bool held = false;          ///< The asking term holds the orders now.
  std::uint64_t term = 0;     ///< As asked.
  bool first_holder = false;  ///< Nobody held the orders before.
  /// Orders of earlier holders that have not ended.
  std::vector<OrderRecord> open_orders;

  friend bool operator==(const TakeOrdersResult&,
                         const TakeOrdersResult&) = default;
};

/// The answer to an IssueOrder.
enum class IssueVerdict : std::uint8_t {
  kIssued,
  kNotHolder,  ///< Another term holds the orders.
  kFull,       ///< Too many orders are open.
};
inline constexpr IssueVerdict kLastIssueVerdict = IssueVerdict::kFull;

/// What became of an IssueOrder.
struct IssueOrderResult {
  IssueVerdict verdict = IssueVerdict::kNotHolder;
  std::uint64_t term = 0;
  std::uint64_t request = 0;
  std::uint64_t fencing = 0;  ///< Set for kIssued.

  friend bool operator==(const IssueOrderResult&,
                         const IssueOrderResult&) = default;
};

/// What became of a FinishOrder.
struct FinishOrderResult {
  std::uint64_t fencing = 0;
  OrderState state = OrderState::kOpen;  ///< Where the order stands now.

  friend bool operator==(const FinishOrderResult&,
                         const FinishOrderResult&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_STATE_ENGINE_ORDER_H_
