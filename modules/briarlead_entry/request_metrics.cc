#include "briarlead_entry/request_metrics.h"

namespace briarlead {

RequestMetrics::RequestMetrics()
    : requests_(metrics_.AddCounter("briarlead_requests_total",
                                    "Model requests that ended.",
                                    LabelSet::kRankAndOutcome)),
      first_token_(metrics_.AddHistogram("briarlead_first_token_seconds",
                                         "From arrival to the first token.",
                                         LabelSet::kRankAndOutcome)),
      token_gap_(metrics_.AddHistogram("briarlead_longest_token_gap_seconds",
                                       "Longest gap between two tokens.",
                                       LabelSet::kRankAndOutcome)),
      membership_bytes_(
          metrics_.AddGauge("briarlead_membership_sent_bytes",
                            "Payload bytes of gossip sent to other hosts.")),
      dispatch_bytes_(
          metrics_.AddGauge("briarlead_dispatch_sent_bytes",
                            "Payload bytes of dispatch sent to other hosts.")),
      control_bytes_(metrics_.AddGauge(
          "briarlead_control_sent_bytes",
          "Payload bytes of questions sent to control hosts.")) {}

void RequestMetrics::SetTraffic(const PeerTransport& transport) {
  const auto bytes = [&](Channel channel) {
    return static_cast<double>(transport.sent(channel).payload_bytes);
  };
  metrics_.Set(membership_bytes_, bytes(Channel::kMembership));
  metrics_.Set(dispatch_bytes_, bytes(Channel::kDispatch));
  metrics_.Set(control_bytes_, bytes(Channel::kControl));
}

void RequestMetrics::OnAnswered(const Entitlement& use,
                                Duration first_token,
                                Duration longest_gap) {
  const bool on_time = first_token <= use.first_token_target &&
                       longest_gap <= use.token_gap_target;
  const Labels labels{
      use.rank, on_time ? RequestOutcome::kOnTime : RequestOutcome::kLate};
  metrics_.Increment(requests_, labels);
  metrics_.Observe(first_token_, first_token, labels);
  metrics_.Observe(token_gap_, longest_gap, labels);
}

void RequestMetrics::OnRefused(Rank rank) {
  metrics_.Increment(requests_, {rank, RequestOutcome::kRefused});
}

void RequestMetrics::OnCancelled(Rank rank) {
  metrics_.Increment(requests_, {rank, RequestOutcome::kCancelled});
}

}  // namespace briarlead
