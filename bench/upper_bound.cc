#include "bench/upper_bound.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace briarlead::bench {
namespace {

constexpr double kBinSeconds = 2.0;
constexpr std::size_t kBins = 180;

/// Work that must be done between two times.
struct Work {
  std::size_t first_bin = 0;
  std::size_t last_bin = 0;
  double amount = 0.0;
};

/// Fits divisible work with release times and deadlines into bins. Work fits
/// as long as no span of bins has to take more than its capacity, so each
/// piece is added as far as the fullest span that contains it allows.
class Fitting {
 public:
  explicit Fitting(const std::vector<double>& bin_capacity)
      : room_(kBins * kBins) {
    for (std::size_t a = 0; a < kBins; ++a) {
      double sum = 0.0;
      for (std::size_t b = a; b < kBins; ++b) {
        sum += bin_capacity[b];
        room_[a * kBins + b] = sum;
      }
    }
  }

  /// Adds as much of `work` as fits; returns the share that did.
  double Add(const Work& work) {
    double fits = work.amount;
    for (std::size_t a = 0; a <= work.first_bin; ++a) {
      for (std::size_t b = work.last_bin; b < kBins; ++b)
        fits = std::min(fits, room_[a * kBins + b]);
    }
    fits = std::max(fits, 0.0);
    if (fits == 0.0)
      return 0.0;
    for (std::size_t a = 0; a <= work.first_bin; ++a) {
      for (std::size_t b = work.last_bin; b < kBins; ++b)
        room_[a * kBins + b] -= fits;
    }
    return fits / work.amount;
  }

 private:
  std::vector<double> room_;
};

std::size_t BinOf(TimePoint when) {
  const double bin = ToSeconds(when.time_since_epoch()) / kBinSeconds;
  return std::min(static_cast<std::size_t>(bin), kBins - 1);
}

/// Returns the engines' capacity in each bin, in engines.
std::vector<double> EnginesByBin(Fault fault, bool decode) {
  std::vector<double> engines(kBins, kDataCentres);
  const bool half = fault == Fault::kHalfOfEnginesLost ||
                    (decode && fault == Fault::kDecodeEnginesLost);
  for (std::size_t i = 0; half && i < kBins; ++i) {
    if (i >= BinOf(kEventFrom))
      engines[i] = kDataCentres / 2.0;
  }
  return engines;
}

double BoundOf(std::vector<Work> works, const std::vector<double>& capacity) {
  // Least work first serves the most requests.
  std::stable_sort(
      works.begin(), works.end(),
      [](const Work& a, const Work& b) { return a.amount < b.amount; });
  Fitting fitting(capacity);
  double served = 0.0;
  for (const Work& it : works)
    served += fitting.Add(it);
  return served;
}

}  // namespace

double UpperBoundShare(const Deployment& deployment,
                       const Scenario& scenario,
                       const std::vector<Arrival>& arrivals) {
  const TimePoint from = scenario.cold_start ? TimePoint() : kCountFrom;
  std::vector<Work> decode;
  std::vector<Work> prefill;
  for (const Arrival& it : arrivals) {
    if (it.when < from)
      continue;
    const TimePoint first_token =
        it.when + deployment.FirstTokenTarget(it.rank);
    const TimePoint end =
        first_token + it.output_tokens * deployment.token_gap_target;
    decode.push_back(
        {BinOf(it.when), BinOf(end), static_cast<double>(it.output_tokens)});
    prefill.push_back({BinOf(it.when), BinOf(first_token),
                       static_cast<double>(it.prompt_tokens)});
  }
  if (decode.empty())
    return 1.0;
  std::vector<double> decode_capacity = EnginesByBin(scenario.fault, true);
  for (double& it : decode_capacity)
    it *= deployment.decode.TokensPerSecond() * kBinSeconds;
  std::vector<double> prefill_capacity = EnginesByBin(scenario.fault, false);
  for (double& it : prefill_capacity)
    it *= deployment.prefill_tokens_per_second * kBinSeconds;
  const auto offered = static_cast<double>(decode.size());
  return std::min(BoundOf(std::move(decode), decode_capacity),
                  BoundOf(std::move(prefill), prefill_capacity)) /
         offered;
}

}  // namespace briarlead::bench
