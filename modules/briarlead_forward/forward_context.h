#ifndef BRIARLEAD_FORWARD_FORWARD_CONTEXT_H_
#define BRIARLEAD_FORWARD_FORWARD_CONTEXT_H_

#include <optional>
#include <set>

#include "briarlead_core/random_source.h"
#include "briarlead_core/time.h"
#include "briarlead_forward/body_buffer.h"
#include "briarlead_forward/crash_suspects.h"
#include "briarlead_forward/engine_load_tracker.h"
#include "briarlead_forward/forward_command.h"
#include "briarlead_forward/model_placer.h"
#include "briarlead_forward/output_length_estimator.h"
#include "briarlead_forward/placement_owners.h"
#include "briarlead_forward/retry_budget.h"
#include "briarlead_forward/send_gate.h"
#include "briarlead_forward/server_pool.h"
#include "briarlead_forward/shutdown_plan.h"
#include "briarlead_forward/stream_origins.h"
#include "briarlead_routes/slot_message.h"

namespace briarlead {

/// The state that all requests of one process share.
struct ForwardContext {
  ServerPool& pool;
  RelayHosts& relays;
  ServerLimits& limits;
  RetryBudget& budget;
  RandomSource& random;
  EngineLoadTracker& load_tracker;
  const ModelPlacer& placer;
  const PlacementOwners& owners;
  OutputLengthEstimator& output_lengths;
  CrashSuspects& suspects;
  BodyBudget& body_budget;
  StreamOrigins& origins;
  const ShutdownPlan& shutdown;
  const SendGate& gate;
  /// Services whose slots a scheduler hands out to all entry hosts.
  const std::set<ServiceId>& scheduled_services;
};

/// What the scheduler of a service decided about a request.
struct SlotAnswer {
  SlotVerdict verdict = SlotVerdict::kNoServer;
  std::optional<ServerRecord> server;  ///< Set for kGranted.
  Duration next_in = Duration::zero();
};

/// Figures of a request for logs and metrics.
struct ForwardSummary {
  AttemptNumber sends = 0;
  Duration waited = Duration::zero();  ///< Time spent waiting for an engine.
  /// Time from arrival to the first event; zero if there was none.
  Duration first_event = Duration::zero();
  Duration longest_gap = Duration::zero();  ///< Longest time between events.
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_FORWARD_CONTEXT_H_
