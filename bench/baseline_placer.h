#ifndef BENCH_BASELINE_PLACER_H_
#define BENCH_BASELINE_PLACER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "briarlead_blackboard/blackboard.h"
#include "briarlead_dispatch/placement.h"

namespace briarlead::bench {

/// The ways of placing requests that briarlead is compared with.
enum class Baseline {
  kRoundRobin,         ///< Engines in turn, at once.
  kLeastLoadedGreedy,  ///< The least loaded engines, at once.
  kFirstCome,          ///< Waits for a free slot, oldest request first.
};

/// Stands in for a Dispatcher with a simple way of placing requests.
class BaselinePlacer {
 public:
  BaselinePlacer(Baseline way,
                 DataCentreId data_centre,
                 ModelId model,
                 const Blackboard& blackboard)
      : way_(way),
        data_centre_(std::move(data_centre)),
        model_(std::move(model)),
        blackboard_(blackboard) {}

  void Enqueue(const PlacementRequest& placement, TimePoint now);
  void OnPrefillDone(const RequestId& request,
                     std::uint32_t attempt,
                     std::uint64_t kv_bytes,
                     TimePoint now);
  void OnFirstToken(const RequestId& /*request*/,
                    std::uint32_t /*attempt*/,
                    TimePoint /*now*/) {}
  void OnProgress(const RequestId& /*request*/,
                  std::uint32_t /*attempt*/,
                  std::uint32_t /*tokens*/,
                  TimePoint /*now*/) {}
  void OnFinished(const RequestId& request,
                  std::uint32_t attempt,
                  std::uint32_t output_tokens,
                  TimePoint now);
  void OnAttemptFailed(const RequestId& request,
                       std::uint32_t attempt,
                       FailedStage stage,
                       const BackendServerId& server,
                       TimePoint now);
  void OnCallerGone(const RequestId& request, TimePoint now);
  void OnReRegister(const InFlightPlacement& in_flight, TimePoint now);
  void OnEngineReport(const BackendServerId& /*server*/,
                      std::span<const HeldAttempt> /*held*/,
                      TimePoint /*now*/) {}
  void OnServersChanged(TimePoint now);
  void Tick(TimePoint /*now*/) {}
  [[nodiscard]] std::optional<TimePoint> NextWake() const {
    return std::nullopt;
  }
  [[nodiscard]] std::vector<DispatchCommand> TakeCommands();
  [[nodiscard]] ShardSummary Summary(TimePoint now) const;

 private:
  struct Running {
    PlacementRequest placement;
    std::uint32_t attempt = 0;
    BackendServerId prefill;
    BackendServerId decode;
    bool in_prefill = true;
  };

  void Pump();
  void Start(const PlacementRequest& placement);
  void End(const RequestId& request);
  [[nodiscard]] std::size_t Load(const BackendServerId& server) const;
  BackendServerId Pick(const std::vector<const BackendServerRecord*>& engines,
                       std::uint64_t& turn) const;

  Baseline way_;
  DataCentreId data_centre_;
  ModelId model_;
  const Blackboard& blackboard_;
  std::deque<PlacementRequest> queue_;
  std::map<RequestId, Running> running_;
  std::map<BackendServerId, std::size_t> loads_;
  std::vector<DispatchCommand> commands_;
  std::uint64_t prefill_turn_ = 0;
  std::uint64_t decode_turn_ = 0;
  std::uint32_t slots_ = 0;
  std::size_t prefill_engines_ = 0;
};

}  // namespace briarlead::bench

#endif  // BENCH_BASELINE_PLACER_H_
