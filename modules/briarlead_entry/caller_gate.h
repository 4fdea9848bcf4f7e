#ifndef BRIARLEAD_ENTRY_CALLER_GATE_H_
#define BRIARLEAD_ENTRY_CALLER_GATE_H_

#include <functional>
#include <memory>

#include "briarlead_core/request_id.h"
#include "briarlead_core/time.h"
#include "briarlead_entry/admission.h"
#include "briarlead_entry/completion_desk.h"
#include "briarlead_entry/entry_context.h"
#include "briarlead_entry/lists_follower.h"
#include "briarlead_entry/request_metrics.h"
#include "briarlead_entry/service_desk.h"

namespace briarlead {

/// Lets callers' requests in: finds the customer by its key, what its plan
/// says of the use, and whether its allowance has room; then hands the request
/// on. Whoever is not let in is answered at once.
class CallerGate {
 public:
  /// Returns a new id for a request.
  using MakeRequestId = std::function<RequestId()>;

  /// Everything that is referenced must outlive the gate.
  CallerGate(const EntryContext& context,
             const ListsFollower& lists,
             CompletionDesk& completions,
             ServiceDesk& services,
             RequestMetrics& metrics,
             MakeRequestId make_request_id);

  /// Takes a request to any path that is not briarlead's own.
  void OnRequest(std::shared_ptr<HttpExchange> exchange, TimePoint now);

  /// Takes the lists that have come into force.
  void OnNewLists(TimePoint now) { admission_.SetLists(lists_.lists(), now); }

 private:
  void OnCompletion(std::shared_ptr<HttpExchange> exchange,
                    const CustomerEntry& customer,
                    CompletionKind kind,
                    TimePoint now);
  void OnServiceCall(std::shared_ptr<HttpExchange> exchange,
                     const CustomerEntry& customer,
                     const ServiceSettings& service,
                     TimePoint now);
  /// Charges the customer's allowance; answers the caller when it is used up.
  bool Admit(HttpExchange& exchange,
             const CustomerEntry& customer,
             const Entitlement& use,
             std::uint32_t tokens,
             TimePoint now);

  EntryContext context_;
  const ListsFollower& lists_;
  CompletionDesk& completions_;
  ServiceDesk& services_;
  RequestMetrics& metrics_;
  MakeRequestId make_request_id_;
  Admission admission_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_CALLER_GATE_H_
