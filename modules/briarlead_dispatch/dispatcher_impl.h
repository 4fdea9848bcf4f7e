#ifndef BRIARLEAD_DISPATCH_DISPATCHER_IMPL_H_
#define BRIARLEAD_DISPATCH_DISPATCHER_IMPL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "briarlead_blackboard/blackboard.h"
#include "briarlead_dispatch/active_placement.h"
#include "briarlead_dispatch/admission_control.h"
#include "briarlead_dispatch/cost_model.h"
#include "briarlead_dispatch/dispatcher.h"
#include "briarlead_dispatch/engine_health.h"
#include "briarlead_dispatch/engine_ledger.h"
#include "briarlead_dispatch/orphaned_work.h"
#include "briarlead_dispatch/placement_planner.h"
#include "briarlead_dispatch/placement_queue.h"
#include "briarlead_dispatch/placement_table.h"
#include "briarlead_dispatch/prefix_cache_estimate.h"
#include "briarlead_dispatch/urgent_reserve.h"

namespace briarlead {

/// Implementation of Dispatcher, private to the module. The event handlers are
/// in dispatcher_events.cc, attempts that end or take too long in
/// dispatcher_attempts.cc, and the choice of what starts next in
/// dispatcher_start.cc.
class Dispatcher::Impl {
 public:
  Impl(DataCentreId data_centre,
       ModelId model,
       const Blackboard& blackboard,
       const DispatcherOptions& options);

  void Enqueue(const PlacementRequest& request, TimePoint now);
  void OnPrefillDone(const RequestId& request,
                     std::uint32_t attempt,
                     std::uint64_t kv_bytes,
                     TimePoint now);
  void OnFirstToken(const RequestId& request,
                    std::uint32_t attempt,
                    TimePoint now);
  void OnProgress(const RequestId& request,
                  std::uint32_t attempt,
                  std::uint32_t tokens,
                  TimePoint now);
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
  void OnHostDead(const HostId& host, std::uint64_t incarnation, TimePoint now);
  void OnReRegister(const InFlightPlacement& in_flight, TimePoint now);
  void OnEngineReport(const BackendServerId& server,
                      std::span<const HeldAttempt> held,
                      TimePoint now);
  void OnCacheEvent(const BackendServerId& server,
                    std::span<const std::uint64_t> cached,
                    std::span<const std::uint64_t> evicted);
  void OnServersChanged(TimePoint now);
  void Tick(TimePoint now);
  [[nodiscard]] std::optional<TimePoint> NextWake() const;
  [[nodiscard]] std::vector<DispatchCommand> TakeCommands();
  [[nodiscard]] ShardSummary Summary(TimePoint now) const;

 private:
  /// Fires when an attempt is still in `stage` at `due`.
  struct Timer {
    TimePoint due;
    std::uint64_t ticket = 0;
    std::uint32_t attempt = 0;
    PlacementStage stage = PlacementStage::kPrefill;
    friend auto operator<=>(const Timer&, const Timer&) = default;
  };

  // Queueing.
  ActivePlacement& AddEntry(const PlacementRequest& request, TimePoint now);
  void EstimateCost(ActivePlacement& entry) const;
  void Queue(ActivePlacement& entry, TimePoint now);
  void Refuse(ActivePlacement& entry,
              Duration retry_after,
              std::string_view reason);
  void RemoveEntry(ActivePlacement& entry, TimePoint now);

  // Running attempts.
  void Release(ActivePlacement& entry, TimePoint now);
  void CancelOnEngines(const ActivePlacement& entry);
  void EndAttempt(ActivePlacement& entry, TimePoint now);
  void Requeue(ActivePlacement& entry, TimePoint now);
  void FailAttempt(ActivePlacement& entry,
                   const BackendServerId& server,
                   TimePoint now);
  /// Refuses all queued requests when no engine is usable, so that they can be
  /// sent to another shard.
  void RefuseQueued();
  /// Returns the number of decode slots that may be used; 0 without a usable
  /// prefill engine.
  [[nodiscard]] std::uint32_t UsableSlots(TimePoint now) const;
  /// Returns whether all prefill engines or all decode engines are ejected, on
  /// probation or closed to new work, so that urgent work should go to another
  /// shard.
  [[nodiscard]] bool IsOnProbation() const;
  void CancelAndRemove(std::uint64_t ticket, TimePoint now);
  void RepeatGrant(const ActivePlacement& entry);

  /// Ends the attempts that `server` should be decoding but has not reported
  /// for the grace period.
  void EndMissingAttempts(const BackendServerId& server,
                          std::span<const HeldAttempt> held,
                          TimePoint now);

  // Timers.
  void SetTimer(const ActivePlacement& entry, TimePoint due);
  void SetTransferTimer(ActivePlacement& entry, TimePoint now);
  void RunTimers(TimePoint now);
  void OnStageOverdue(ActivePlacement& entry, TimePoint now);

  // Starting requests (dispatcher_start.cc).
  void StartQueued(TimePoint now);
  void RefuseTooLateUrgent(TimePoint now);
  void UpdateReserve(TimePoint now);
  bool StartNext(TimePoint now);
  bool StartInterrupted(TimePoint now);
  /// Pauses a patient stream so that an urgent request can start. The paused
  /// stream resumes from its delivered tokens, before any other request starts.
  bool PauseForUrgent(const ActivePlacement& urgent, TimePoint now);
  /// Returns the stream that is cheapest to pause, on `server` or, when that is
  /// empty, on any engine; null when there is none or the pause credit does not
  /// cover its cost.
  ActivePlacement* ChooseStreamToPause(const BackendServerId& server,
                                       TimePoint now);
  void Pause(ActivePlacement& stream, TimePoint now);
  /// Pauses a late stream that runs on spare capacity, for a request that can
  /// still start in time.
  bool PauseLateFor(const ActivePlacement& on_time,
                    const PlanLimits& limits,
                    TimePoint now);
  /// Pauses a stream on the decode engine of `waiting` if that engine is over
  /// capacity, so that the prefill result does not expire.
  void FreeSlotFor(const ActivePlacement& waiting, TimePoint now);
  [[nodiscard]] bool IsOverCapacity(const BackendServerId& decode_server) const;
  bool StartUrgent(TimePoint now);
  bool StartPatient(std::uint32_t reserve, TimePoint now);
  bool StartLate(bool spare_capacity, TimePoint now);
  bool TryStart(std::uint64_t ticket,
                const PlanLimits& limits,
                std::string_view reason,
                TimePoint now);
  void Grant(ActivePlacement& entry,
             const PlacementPlan& plan,
             std::string_view reason,
             TimePoint now);
  [[nodiscard]] PlanLimits UrgentLimits(std::uint32_t reserve) const;
  [[nodiscard]] PlanLimits PatientLimits(std::uint32_t reserve) const;
  [[nodiscard]] std::size_t CustomerCap() const;
  [[nodiscard]] bool PatientBelowFloor() const;

  DataCentreId data_centre_;
  ModelId model_;
  const Blackboard& blackboard_;
  DispatcherOptions options_;
  PlacementTable table_;
  PlacementQueue queue_;
  EngineLedger ledger_;
  CostModel costs_;
  EngineHealth health_;
  PrefixCacheEstimate prefixes_;
  UrgentReserve reserve_;
  OrphanedWork orphaned_;
  AdmissionControl admission_;
  PlacementPlanner planner_;
  std::set<Timer> timers_;
  /// Interrupted streams; they start before all other requests.
  std::set<std::uint64_t> interrupted_;
  std::map<BackendServerId, std::uint64_t> incarnations_;
  std::vector<DispatchCommand> commands_;
  /// Slot time that late work may use while other work waits.
  double late_credit_seconds_ = 0.0;
  /// Prefill time that may be spent on prefilling paused streams again.
  double pause_credit_seconds_ = 0.0;
  std::uint32_t reserve_slots_ = 0;
  TimePoint reserve_updated_;
  TimePoint last_start_pass_;
  bool had_engines_ = false;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_DISPATCHER_IMPL_H_
