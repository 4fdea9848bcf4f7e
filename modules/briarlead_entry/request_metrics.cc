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
                                       LabelSet::kRankAndOutcome)) {}

void RequestMetrics::OnAnswered(const Use& use,
                                Duration first_token,
                                Duration longest_gap) {
  const bool on_time =
      first_token <= use.first_token && longest_gap <= use.token_gap;
  const Labels labels{
      use.rank, on_time ? RequestOutcome::kOnTime : RequestOutcome::kLate};
  metrics_.Increment(requests_, labels);
  metrics_.Observe(first_token_, first_token, labels);
  metrics_.Observe(token_gap_, longest_gap, labels);
}

void RequestMetrics::OnRefused(Rank rank) {
  metrics_.Increment(requests_, {rank, RequestOutcome::kRefused});
}

void RequestMetrics::OnGone(Rank rank) {
  metrics_.Increment(requests_, {rank, RequestOutcome::kCancelled});
}

}  // namespace briarlead
