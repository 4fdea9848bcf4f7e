#ifndef BRIARLEAD_ENTRY_REQUEST_METRICS_H_
#define BRIARLEAD_ENTRY_REQUEST_METRICS_H_

#include <string>

#include "briarlead_core/rank.h"
#include "briarlead_core/time.h"
#include "briarlead_lists/briarlead_lists.h"
#include "briarlead_metrics/briarlead_metrics.h"
#include "briarlead_net/peer_transport.h"

namespace briarlead {

/// The request metrics of an entry host by rank and outcome, and the bytes that
/// it sent to other hosts.
class RequestMetrics {
 public:
  RequestMetrics();

  /// A model request was answered completely.
  void OnAnswered(const Entitlement& use,
                  Duration first_token,
                  Duration longest_gap);

  /// A request was refused without being run.
  void OnRefused(Rank rank);

  /// The caller disconnected before the answer was complete.
  void OnCancelled(Rank rank);

  /// Updates the byte counts of each channel from `transport`.
  void SetTraffic(const PeerTransport& transport);

  /// Returns all metrics in the Prometheus text format.
  [[nodiscard]] std::string Render() const { return metrics_.Render(); }

 private:
  Metrics metrics_;
  Metrics::CounterId requests_;
  Metrics::HistogramId first_token_;
  Metrics::HistogramId token_gap_;
  Metrics::GaugeId membership_bytes_;
  Metrics::GaugeId dispatch_bytes_;
  Metrics::GaugeId control_bytes_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_REQUEST_METRICS_H_
