#ifndef BRIARLEAD_ENTRY_CALLER_REQUEST_HANDLER_H_
#define BRIARLEAD_ENTRY_CALLER_REQUEST_HANDLER_H_

#include <functional>
#include <memory>

#include "briarlead_core/request_id.h"
#include "briarlead_core/time.h"
#include "briarlead_entry/allowance_enforcer.h"
#include "briarlead_entry/completion_manager.h"
#include "briarlead_entry/entry_context.h"
#include "briarlead_entry/lists_follower.h"
#include "briarlead_entry/request_metrics.h"
#include "briarlead_entry/service_call_manager.h"

namespace briarlead {

/// Handles the requests of callers: authenticates them by bearer key, checks
/// that the customer's plan allows the model or service, charges the allowance,
/// and passes the request on. A request that fails one of these steps is
/// refused at once.
class CallerRequestHandler {
 public:
  /// Returns a new request id.
  using MakeRequestId = std::function<RequestId()>;

  /// All referenced objects must outlive this object.
  CallerRequestHandler(const EntryContext& context,
                       const ListsFollower& lists,
                       CompletionManager& completions,
                       ServiceCallManager& services,
                       RequestMetrics& metrics,
                       MakeRequestId make_request_id);

  /// Handles a request to any path that is not one of briarlead's own.
  void OnRequest(std::shared_ptr<HttpExchange> exchange, TimePoint now);

  /// Applies the lists that came into force.
  void OnNewLists(TimePoint now) { allowances_.SetLists(lists_.lists(), now); }

 private:
  void OnCompletion(std::shared_ptr<HttpExchange> exchange,
                    const CustomerEntry& customer,
                    CompletionKind kind,
                    TimePoint now);
  void OnServiceCall(std::shared_ptr<HttpExchange> exchange,
                     const CustomerEntry& customer,
                     const ServiceSettings& service,
                     TimePoint now);
  /// Charges the customer's allowance; refuses the request when it is used up.
  bool Admit(HttpExchange& exchange,
             const CustomerEntry& customer,
             const Entitlement& use,
             std::uint32_t tokens,
             TimePoint now);

  EntryContext context_;
  const ListsFollower& lists_;
  CompletionManager& completions_;
  ServiceCallManager& services_;
  RequestMetrics& metrics_;
  MakeRequestId make_request_id_;
  AllowanceEnforcer allowances_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_CALLER_REQUEST_HANDLER_H_
