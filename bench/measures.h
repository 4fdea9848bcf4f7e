#ifndef BENCH_MEASURES_H_
#define BENCH_MEASURES_H_

#include <cstdint>
#include <vector>

#include "bench/scenario.h"
#include "bench/workload.h"
#include "briarlead_core/time.h"

namespace briarlead::bench {

/// What became of one request.
struct RequestOutcome {
  bool answered = false;  ///< Whole.
  bool refused = false;
  TimePoint first_token_at;
  std::uint32_t gaps = 0;
  std::uint32_t gaps_over_target = 0;
};

/// Counts of a set of requests.
struct Tally {
  std::uint64_t offered = 0;
  std::uint64_t answered = 0;
  std::uint64_t good = 0;
  std::uint64_t refused = 0;

  [[nodiscard]] double GoodShare() const { return Share(good); }
  [[nodiscard]] double AnsweredShare() const { return Share(answered); }
  [[nodiscard]] double RefusedShare() const { return Share(refused); }

 private:
  [[nodiscard]] double Share(std::uint64_t part) const {
    return offered > 0
               ? static_cast<double>(part) / static_cast<double>(offered)
               : 1.0;
  }
};

/// The figures of one run.
struct Measures {
  Tally all;
  Tally urgent;
  Tally patient;
  Tally event_urgent;   ///< Urgent ones that arrived during the event.
  Tally event_patient;  ///< Patient ones that arrived during the event.
  Tally event_rest;     ///< Those of customers who don't flood, then.
  Tally event_rest_urgent;
  double bound_share = 1.0;  ///< The upper bound on `all.GoodShare()`.
  double wasted_prefill_share = 0.0;
  /// Tokens generated, and read, over what the engines could, while requests
  /// arrived and were counted.
  double decode_use = 0.0;
  double prefill_use = 0.0;
  /// Tokens of patient requests during the event over what its floor allows.
  double patient_floor_use = 0.0;
  std::uint64_t unanswered = 0;   ///< Neither answered nor refused at the end.
  std::uint64_t held_at_end = 0;  ///< Attempts that engines still hold.
  std::uint64_t double_tokens = 0;  ///< Delivered beyond the whole answer.
};

/// Returns whether the request met both latency targets.
bool IsGood(const Deployment& deployment,
            const Arrival& arrival,
            const RequestOutcome& outcome);

/// Fills in the tallies of `measures`.
void Count(const Deployment& deployment,
           const Scenario& scenario,
           const std::vector<Arrival>& arrivals,
           const std::vector<RequestOutcome>& outcomes,
           Measures& measures);

}  // namespace briarlead::bench

#endif  // BENCH_MEASURES_H_
