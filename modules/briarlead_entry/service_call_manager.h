#ifndef BRIARLEAD_ENTRY_SERVICE_CALL_MANAGER_H_
#define BRIARLEAD_ENTRY_SERVICE_CALL_MANAGER_H_

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

/// The service calls that this entry host has accepted; model requests are not
/// among them. A repeatable call is sent to a backend server (runner) at once,
/// and to another one when that fails. Any other call is sent at most once;
/// with an idempotency key, only after its claim is committed.
class ServiceCallManager {
 public:
  /// Sends a request to the control leader; returns the number of the request.
  using SendToControl =
      std::function<std::uint64_t(ControlRequestBody body, TimePoint now)>;

  ServiceCallManager(const EntryContext& context,
                     SendToControl send_to_control);
  ~ServiceCallManager();
  ServiceCallManager(const ServiceCallManager&) = delete;
  ServiceCallManager& operator=(const ServiceCallManager&) = delete;

  /// Accepts a call of `customer` to `service` and responds now or later. Calls
  /// `on_end` once, when the call needs no further work.
  void OnCall(std::shared_ptr<HttpExchange> exchange,
              const ServiceSettings& service,
              const CustomerId& customer,
              const Entitlement& use,
              const RequestId& id,
              std::function<void()> on_end,
              TimePoint now);

  /// Handles the answer to the control request `number`.
  void OnControlAnswer(std::uint64_t number,
                       const ControlAnswerBody& body,
                       TimePoint now);

  /// The control request `number` was given up without an answer.
  void OnControlUnanswered(std::uint64_t number, TimePoint now);

  /// Must be called after a change of the blackboard's backend servers.
  void OnServersChanged(TimePoint now);

  /// Runs what is due in the pools and for the claims.
  void Tick(TimePoint now);

  /// Returns the number of calls whose callers wait, plus the number of calls
  /// whose outcome is still to be recorded.
  [[nodiscard]] std::size_t open_calls() const;

 private:
  struct Call;
  using Calls = std::unordered_map<RequestId, std::unique_ptr<Call>>;

  ServicePool& PoolOf(const ServiceSettings& service);
  void StartClaimed(Call& call, TimePoint now);
  void OnCallerGone(const RequestId& id);
  /// Carries out the commands of the pools and of the claim coordinator until
  /// none are left.
  void RunCommands(TimePoint now);
  bool RunPoolCommands(TimePoint now);
  bool RunClaimCommands(TimePoint now);
  void SendToServer(Call& call, const SendToRunner& command);
  void Refuse(Call& call, const RefuseCall& command, TimePoint now);
  void OnCallEnd(const RequestId& id, const HttpCallEnd& end);
  void EndClaimed(Call& call, const HttpCallEnd& end, TimePoint now);
  void EndRepeatable(Call& call, const HttpCallEnd& end, TimePoint now);
  void AnswerClaimed(const AnswerCaller& command, TimePoint now);
  void Respond(Call& call, HttpResponse response);
  void Remove(const RequestId& id);

  EntryContext context_;
  SendToControl send_to_control_;
  std::map<ServiceId, std::unique_ptr<ServicePool>> pools_;
  ClaimCoordinator claims_;
  Calls calls_;
  /// The attempt of each pending control request about a claim, by number.
  std::map<std::uint64_t, AttemptToken> proposals_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_SERVICE_CALL_MANAGER_H_
