#ifndef BRIARLEAD_REQUESTS_SERVICE_POOL_H_
#define BRIARLEAD_REQUESTS_SERVICE_POOL_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "briarlead_blackboard/blackboard.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/rank.h"
#include "briarlead_core/request_id.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// One call to a plain service, that is, a service other than a model. A runner
/// is a backend server that runs such a service.
struct ServiceCall {
  RequestId request;
  CustomerId customer;
  Rank rank = Rank::kUrgent;
  Duration answer_target{};  ///< From arrival to the complete answer.
};

/// Send the call to `server` now.
struct SendToRunner {
  RequestId request;
  BackendServerId server;
  std::string reason;  ///< For the log line.
};

/// Send the caller its final answer: the call was not run.
struct RefuseCall {
  RequestId request;
  Duration retry_after{};
  std::string reason;
};

using ServicePoolCommand = std::variant<SendToRunner, RefuseCall>;

/// Bounds of a ServicePool.
struct ServicePoolLimits {
  std::size_t max_queued = 1000;  ///< Calls queued in each rank.
  /// Share of a rank's queue that one customer may fill.
  double customer_share = 0.5;
  /// While calls of both ranks wait, one of this many starts is a patient call.
  std::uint32_t patient_start_interval = 10;
};

/// Queues the calls that one entry host gets for one plain service and spreads
/// them over the service's runners in one data centre. Urgent calls start
/// before patient ones, but a share of the starts is reserved for patient
/// calls. An urgent call that passes its answer target in the queue is refused.
class ServicePool {
 public:
  /// `blackboard` must outlive the pool; its server table lists the runners.
  ServicePool(ServiceId service,
              DataCentreId data_centre,
              const Blackboard& blackboard,
              const ServicePoolLimits& limits);

  /// Adds a call, and sends, queues or refuses it at once.
  void Enqueue(const ServiceCall& call, TimePoint now);

  /// The call ended on its runner, or its caller disconnected. An unknown
  /// request is ignored. `answered` tells whether the runner answered.
  void OnEnded(const RequestId& request, bool answered, TimePoint now);

  /// The server table of the blackboard changed.
  void OnServersChanged(TimePoint now) { StartQueuedCalls(now); }

  /// Refuses urgent calls that passed their answer target, then starts calls.
  void Tick(TimePoint now) { StartQueuedCalls(now); }

  /// Returns the commands since the last call, in order.
  std::vector<ServicePoolCommand> TakeCommands();

  [[nodiscard]] std::size_t queued() const;
  [[nodiscard]] std::size_t running() const { return running_.size(); }

 private:
  struct QueuedCall {
    ServiceCall call;
    TimePoint deadline;
  };
  struct RunningCall {
    BackendServerId server;
    TimePoint started;
  };
  using Queue = std::deque<QueuedCall>;

  [[nodiscard]] Queue& QueueOf(Rank rank) {
    return queues_[static_cast<std::size_t>(rank)];
  }
  /// Refuses expired calls, then starts queued calls while slots are free.
  void StartQueuedCalls(TimePoint now);
  void RefuseExpired(TimePoint now);
  [[nodiscard]] bool CustomerReachedShare(const ServiceCall& call) const;
  /// Returns the least loaded runner with a free slot, or null if none has one.
  [[nodiscard]] const BackendServerRecord* PickRunner() const;
  [[nodiscard]] std::size_t SlotsInUse(const BackendServerId& server) const;
  /// Returns the rank that starts next; at least one queue must hold a call.
  Rank NextRank();
  void Start(const QueuedCall& queued_call,
             const BackendServerRecord& runner,
             TimePoint now);
  void Refuse(const RequestId& request, std::string reason);
  /// Returns how long the runners need for all queued and running calls of this
  /// entry host, by the mean service time.
  [[nodiscard]] Duration EstimateWait() const;

  ServiceId service_;
  DataCentreId data_centre_;
  const Blackboard& blackboard_;
  ServicePoolLimits limits_;
  std::array<Queue, kRankCount> queues_;
  std::unordered_map<RequestId, RunningCall> running_;
  std::map<BackendServerId, std::size_t> slots_in_use_;
  /// Urgent calls started since the last patient one while both ranks waited.
  std::uint32_t urgent_starts_in_row_ = 0;
  Duration mean_service_time_ = std::chrono::milliseconds(50);
  std::vector<ServicePoolCommand> commands_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_REQUESTS_SERVICE_POOL_H_
