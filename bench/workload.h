#ifndef BENCH_WORKLOAD_H_
#define BENCH_WORKLOAD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bench/fake_decode_engine.h"
#include "briarlead_core/rank.h"
#include "briarlead_core/time.h"

namespace briarlead::bench {

/// A log-normal distribution between bounds.
struct LengthShape {
  double median = 100.0;
  double sigma = 0.5;
  double low = 1.0;
  double high = 1e6;
};

/// One kind of model request.
struct RequestKind {
  std::string name;
  Rank rank = Rank::kPatient;
  double share = 1.0;  ///< Of all requests.
  LengthShape prompt;
  LengthShape output;  ///< `high` is the caller's output limit.
};

/// The engines and the demand of one organisation. Each data centre has one
/// prefill and one decode engine: eight model runners in four data centres.
struct Deployment {
  std::string name;
  std::uint32_t customers = 1;
  std::vector<RequestKind> kinds;
  double prefill_tokens_per_second = 15'000.0;
  double kv_bytes_per_token = 60'000.0;
  DecodeSpeed decode;
  Duration urgent_first_token_target{};
  Duration patient_first_token_target{};
  Duration token_gap_target{};

  [[nodiscard]] Duration FirstTokenTarget(Rank rank) const {
    return rank == Rank::kUrgent ? urgent_first_token_target
                                 : patient_first_token_target;
  }
};

inline constexpr std::uint32_t kDataCentres = 4;

/// Returns the co-operative's deployment.
Deployment CooperativeDeployment();
/// Returns Hemline's deployment.
Deployment HemlineDeployment();

/// Extra demand for a time.
struct Flood {
  TimePoint from;
  TimePoint to;
  double factor = 10.0;  ///< Of the usual rate of `ranks`.
  bool urgent = false;
  bool patient = false;
  std::optional<std::uint32_t> customer;  ///< Whose; all alike when not set.
  bool of_own_rate = true;  ///< Times the customer's own rate, or everyone's.
};

/// One request as it will arrive, with what only a clairvoyant knows.
struct Arrival {
  TimePoint when;
  std::uint32_t data_centre = 0;
  std::uint32_t customer = 0;
  Rank rank = Rank::kPatient;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  bool flood = false;
};

/// Returns the arrivals up to `end`, in order of time. `load` 1 asks for as
/// many output tokens as the decode engines generate when they are full.
std::vector<Arrival> MakeArrivals(const Deployment& deployment,
                                  double load,
                                  const std::optional<Flood>& flood,
                                  TimePoint end,
                                  std::uint64_t seed);

}  // namespace briarlead::bench

#endif  // BENCH_WORKLOAD_H_
