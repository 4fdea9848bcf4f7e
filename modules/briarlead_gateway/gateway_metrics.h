#ifndef BRIARLEAD_GATEWAY_GATEWAY_METRICS_H_
#define BRIARLEAD_GATEWAY_GATEWAY_METRICS_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include "briarlead_core/time.h"
#include "briarlead_forward/forward_flow.h"
#include "briarlead_gateway/account_counts.h"
#include "briarlead_metrics/metrics.h"
#include "briarlead_wire/memory_budget.h"

namespace briarlead {

/// The current values of a gateway's gauges.
struct GatewayState {
  std::uint64_t routes_version = 0;
  std::size_t servers = 0;
  std::size_t requests = 0;
  std::size_t entry_hosts = 0;
  std::size_t control_hosts = 0;
  std::uint64_t connections_opened = 0;
  bool owns_engines = false;
  std::size_t waiting_placements = 0;  ///< Of other hosts, on an owner.
  std::size_t blocked_suspects = 0;
  std::size_t limited_servers = 0;
  /// Requests of all hosts that this one schedules on plain services' slots.
  std::size_t waiting_for_slots = 0;
  std::size_t granted_slots = 0;
  std::uint64_t relayed_for_others = 0;
  bool cut_off_from_servers = false;
  /// Time since the list was last known to be in force, where keys need that.
  std::optional<Duration> key_lease_age;
  /// Time since the list was last known to be in force.
  std::optional<Duration> list_age;
  RetryCounts retries;
  bool ready = false;
  const MemoryBudget* memory = nullptr;  ///< May be null.
};

/// The metrics of one gateway.
class GatewayMetrics {
 public:
  GatewayMetrics();

  /// Counts a final response; status 0 stands for an aborted stream.
  /// `from_server` is false for responses that the gateway itself gave.
  void OnAnswered(int status,
                  bool from_server,
                  Duration took,
                  const ForwardSummary& summary);
  /// Counts a caller that disconnected before its final response.
  void OnCallerGone();
  /// Counts an attempt at a backend server that has ended.
  void OnAttempt(AttemptOutcome outcome, bool ejected);

  /// Counts an attempt that another entry host passes on.
  void OnRelayed();

  /// Counts a request with an unknown route or key that was answered with 503,
  /// as a newer list may have it.
  void OnListMayBeOld();

  /// Counts a model request that no owner of the engines answered.
  void OnNoOwner();

  /// Counts a request of `account`; an empty one if it had no valid key.
  void OnAccountRequest(const CustomerId& account, AccountOutcome outcome);

  /// Returns all metrics in the Prometheus text format.
  std::string Render(const GatewayState& state);

 private:
  void SetMemory(const MemoryBudget& memory);

  Metrics metrics_;
  AccountCounts accounts_;
  Metrics::CounterId by_server_;
  Metrics::CounterId refused_;
  Metrics::CounterId failed_;
  Metrics::CounterId cut_off_;
  Metrics::CounterId callers_gone_;
  Metrics::CounterId sends_;
  Metrics::CounterId sends_failed_;
  Metrics::CounterId sends_refused_;
  Metrics::CounterId ejections_;
  Metrics::CounterId no_owner_;
  Metrics::HistogramId answer_time_;
  Metrics::HistogramId first_event_time_;
  Metrics::HistogramId engine_wait_;
  Metrics::HistogramId event_gap_;
  Metrics::GaugeId routes_version_;
  Metrics::GaugeId servers_;
  Metrics::GaugeId requests_;
  Metrics::GaugeId entry_hosts_;
  Metrics::GaugeId control_hosts_;
  Metrics::GaugeId connections_opened_;
  Metrics::GaugeId owns_engines_;
  Metrics::GaugeId waiting_placements_;
  Metrics::GaugeId blocked_suspects_;
  Metrics::GaugeId limited_servers_;
  Metrics::GaugeId waiting_for_slots_;
  Metrics::GaugeId granted_slots_;
  Metrics::CounterId relayed_sends_;
  Metrics::GaugeId relayed_for_others_;
  Metrics::GaugeId cut_off_from_servers_;
  Metrics::GaugeId key_lease_age_;
  Metrics::GaugeId list_age_;
  Metrics::CounterId list_may_be_old_;
  Metrics::GaugeId retries_;
  Metrics::GaugeId retries_refused_;
  Metrics::GaugeId retries_beyond_budget_;
  Metrics::GaugeId ready_;
  Metrics::GaugeId memory_budget_;
  std::array<Metrics::GaugeId, kMemoryKinds> memory_bytes_;
  std::array<Metrics::GaugeId, kMemoryRefusals> memory_refusals_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_GATEWAY_GATEWAY_METRICS_H_
