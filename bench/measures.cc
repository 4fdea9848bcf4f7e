#include "bench/measures.h"

namespace briarlead::bench {
namespace {

/// Share of the gaps between tokens that may be over the target.
constexpr double kGapsOverTargetAllowed = 0.05;

void Add(Tally& tally, const RequestOutcome& outcome, bool good) {
  ++tally.offered;
  tally.answered += outcome.answered ? 1 : 0;
  tally.refused += outcome.refused ? 1 : 0;
  tally.good += good ? 1 : 0;
}

}  // namespace

bool IsGood(const Deployment& deployment,
            const Arrival& arrival,
            const RequestOutcome& outcome) {
  if (!outcome.answered)
    return false;
  if (outcome.first_token_at - arrival.when >
      deployment.FirstTokenTarget(arrival.rank))
    return false;
  return outcome.gaps_over_target <= kGapsOverTargetAllowed * outcome.gaps;
}

void Count(const Deployment& deployment,
           const Scenario& scenario,
           const std::vector<Arrival>& arrivals,
           const std::vector<RequestOutcome>& outcomes,
           Measures& measures) {
  const TimePoint from = scenario.cold_start ? TimePoint() : kCountFrom;
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    const Arrival& arrival = arrivals[i];
    const RequestOutcome& outcome = outcomes[i];
    if (!outcome.answered && !outcome.refused)
      ++measures.unanswered;
    if (arrival.when < from)
      continue;
    const bool good = IsGood(deployment, arrival, outcome);
    const bool urgent = arrival.rank == Rank::kUrgent;
    Add(measures.all, outcome, good);
    Add(urgent ? measures.urgent : measures.patient, outcome, good);
    if (arrival.when < kEventFrom || arrival.when >= kEventTo)
      continue;
    Add(urgent ? measures.event_urgent : measures.event_patient, outcome, good);
    // Customer 0 is the one that floods, when one does; its own usual work
    // counts as part of its flood.
    const bool rest = arrival.customer != 0 && !arrival.flood;
    if (!rest)
      continue;
    Add(measures.event_rest, outcome, good);
    if (urgent)
      Add(measures.event_rest_urgent, outcome, good);
  }
}

}  // namespace briarlead::bench
