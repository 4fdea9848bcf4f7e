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

/// One call of a plain service that waits for a runner.
struct ServiceCall {
  RequestId request;
  CustomerId customer;
  Rank rank = Rank::kUrgent;
  Duration answer_target{};  ///< From arrival to the whole answer.
};

/// Send the call to `server`, now.
struct SendToRunner {
  RequestId request;
  BackendServerId server;
  std::string reason;  ///< For the log line.
};

/// Give the caller its final answer: the call was not run.
struct RefuseCall {
  RequestId request;
  Duration retry_after{};
  std::string reason;
};

using ServicePoolCommand = std::variant<SendToRunner, RefuseCall>;

/// Bounds of a ServicePool.
struct ServicePoolLimits {
  std::size_t max_queued = 1000;  ///< In each rank.
  /// Share of a rank's queue that one customer may fill.
  double customer_share = 0.5;
  /// Of this many calls that start while both ranks wait, one is patient.
  std::uint32_t patient_turn = 10;
};

/// The runners of one plain service in one data centre, as one entry host uses
/// them. Calls wait in order of rank, patient ones with a guaranteed share. A
/// call that can't be answered on time any more is refused in the same event.
class ServicePool {
 public:
  /// `blackboard` must outlive the pool; its server table names the runners.
  ServicePool(ServiceId service,
              DataCentreId data_centre,
              const Blackboard& blackboard,
              const ServicePoolLimits& limits);

  /// Takes a call: sent, queued or refused within this call.
  void Enqueue(const ServiceCall& call, TimePoint now);

  /// The call ended on its runner, or its caller is gone. Unknown ones are
  /// ignored. `answered` tells whether the runner answered.
  void OnEnded(const RequestId& request, bool answered, TimePoint now);

  /// The blackboard's servers changed.
  void OnServersChanged(TimePoint now) { Advance(now); }

  /// Refuses what can't be answered on time any more.
  void Tick(TimePoint now) { Advance(now); }

  /// Returns the commands since the last call, in order.
  std::vector<ServicePoolCommand> TakeCommands();

  [[nodiscard]] std::size_t queued() const;
  [[nodiscard]] std::size_t running() const { return running_.size(); }

 private:
  struct Waiting {
    ServiceCall call;
    TimePoint deadline;
  };
  struct Running {
    BackendServerId server;
    TimePoint started;
  };
  using Queue = std::deque<Waiting>;

  [[nodiscard]] Queue& QueueOf(Rank rank) {
    return queues_[static_cast<std::size_t>(rank)];
  }
  void Advance(TimePoint now);
  void RefuseLate(TimePoint now);
  [[nodiscard]] bool CustomerFillsQueue(const ServiceCall& call) const;
  /// Returns the runner with the most room, or null when all are full.
  [[nodiscard]] const BackendServerRecord* PickRunner() const;
  [[nodiscard]] std::size_t SlotsInUse(const BackendServerId& server) const;
  /// Returns the rank whose turn it is; both queues must not be empty.
  Rank NextRank();
  void Start(const Waiting& waiting,
             const BackendServerRecord& runner,
             TimePoint now);
  void Refuse(const RequestId& request, std::string reason);
  [[nodiscard]] Duration ForecastWait() const;

  ServiceId service_;
  DataCentreId data_centre_;
  const Blackboard& blackboard_;
  ServicePoolLimits limits_;
  std::array<Queue, kRankCount> queues_;
  std::unordered_map<RequestId, Running> running_;
  std::map<BackendServerId, std::size_t> in_use_;
  std::uint32_t urgent_starts_ = 0;
  Duration mean_service_time_ = std::chrono::milliseconds(50);
  std::vector<ServicePoolCommand> commands_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_REQUESTS_SERVICE_POOL_H_
