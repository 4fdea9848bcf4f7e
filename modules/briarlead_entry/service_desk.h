#ifndef BRIARLEAD_ENTRY_SERVICE_DESK_H_
#define BRIARLEAD_ENTRY_SERVICE_DESK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "briarlead_claims/briarlead_claims.h"
#include "briarlead_core/request_id.h"
#include "briarlead_core/time.h"
#include "briarlead_entry/entry_context.h"
#include "briarlead_lists/briarlead_lists.h"
#include "briarlead_requests/service_pool.h"
#include "briarlead_state/control_message.h"

namespace briarlead {

/// The calls of plain services that this entry host has taken. Repeatable calls
/// go to a runner at once and to another one when it fails; all others are
/// claimed first and leave at most once.
class ServiceDesk {
 public:
  /// Asks the control leader; returns the question's number.
  using AskControl =
      std::function<std::uint64_t(ControlRequestBody body, TimePoint now)>;

  ServiceDesk(const EntryContext& context, AskControl ask_control);
  ~ServiceDesk();
  ServiceDesk(const ServiceDesk&) = delete;
  ServiceDesk& operator=(const ServiceDesk&) = delete;

  /// Takes a call of `service` by `customer`; answers it now or later. `on_end`
  /// is called once, when nothing of the call is left to do.
  void OnCall(std::shared_ptr<HttpExchange> exchange,
              const ServiceSettings& service,
              const CustomerId& customer,
              const Entitlement& use,
              const RequestId& id,
              std::function<void()> on_end,
              TimePoint now);

  /// Control answered the question `number`.
  void OnControlAnswer(std::uint64_t number,
                       const ControlAnswerBody& body,
                       TimePoint now);

  /// The question `number` will not be answered.
  void OnControlUnanswered(std::uint64_t number, TimePoint now);

  /// The blackboard's servers changed.
  void OnServersChanged(TimePoint now);

  void Tick(TimePoint now);

  /// Returns the number of calls whose callers wait, and of calls whose outcome
  /// has still to be recorded.
  [[nodiscard]] std::size_t open_calls() const;

 private:
  struct Call;
  using Calls = std::unordered_map<RequestId, std::unique_ptr<Call>>;

  ServicePool& PoolOf(const ServiceSettings& service);
  void StartClaimed(Call& call, TimePoint now);
  void OnCallerGone(const RequestId& id);
  /// Carries out the commands of the pools and of the claim keeper.
  void Pump(TimePoint now);
  bool PumpPools(TimePoint now);
  bool PumpClaims(TimePoint now);
  void SendToServer(Call& call, const SendToRunner& command);
  void Refuse(Call& call, const RefuseCall& command, TimePoint now);
  void OnCallEnd(const RequestId& id, const HttpCallEnd& end);
  void EndClaimed(Call& call, const HttpCallEnd& end, TimePoint now);
  void EndRepeatable(Call& call, const HttpCallEnd& end, TimePoint now);
  void AnswerClaimed(const AnswerCaller& command, TimePoint now);
  void Respond(Call& call, HttpResponse response);
  void Forget(const RequestId& id);

  EntryContext context_;
  AskControl ask_control_;
  std::map<ServiceId, std::unique_ptr<ServicePool>> pools_;
  ClaimKeeper keeper_;
  Calls calls_;
  /// Open questions to control about claims, by number.
  std::map<std::uint64_t, AttemptToken> questions_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_SERVICE_DESK_H_
