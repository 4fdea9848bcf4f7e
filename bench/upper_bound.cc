#include "bench/upper_bound.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

namespace briarlead::bench {
namespace {

constexpr double kBinSeconds = 4.0;
constexpr std::size_t kBins = 210;

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

/// What one request asks of each pool, in seconds of one engine.
struct Demand {
  std::size_t arrival_bin = 0;
  std::size_t first_token_bin = 0;
  std::size_t end_bin = 0;
  double decode_seconds = 0.0;
  double prefill_seconds = 0.0;
};

/// What a second of prefill counts for against a second of decode. At 0 and
/// at 1 one pool alone binds; between them both do, as one.
constexpr std::array<double, 6> kPrefillPrices = {0.0, 0.1,  0.25,
                                                  0.5, 0.75, 1.0};

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

/// Returns the bound with both pools taken as one, a second of prefill at
/// `price` and a second of decode at the rest. Whatever fits into both pools
/// fits into this one.
double BoundAtPrice(const std::vector<Demand>& demands,
                    Fault fault,
                    double price) {
  std::vector<Work> works;
  for (const Demand& it : demands) {
    const std::size_t last = price == 1.0 ? it.first_token_bin : it.end_bin;
    works.push_back(
        {it.arrival_bin, last,
         (1.0 - price) * it.decode_seconds + price * it.prefill_seconds});
  }
  std::vector<double> capacity = EnginesByBin(fault, true);
  const std::vector<double> prefill = EnginesByBin(fault, false);
  for (std::size_t i = 0; i < kBins; ++i)
    capacity[i] =
        ((1.0 - price) * capacity[i] + price * prefill[i]) * kBinSeconds;
  return BoundOf(std::move(works), capacity);
}

}  // namespace

double UpperBoundShare(const Deployment& deployment,
                       const Scenario& scenario,
                       const std::vector<Arrival>& arrivals) {
  const TimePoint from = scenario.cold_start ? TimePoint() : kCountFrom;
  const DecodeSpeed& speed = deployment.decode;
  const double decode_rate = speed.TokensPerSecond();
  // A slot that takes in a KV cache generates nothing meanwhile; the tokens
  // that costs are those of the last slot filled, the least of all.
  const double lost_tokens_per_second =
      speed.step_base_seconds * decode_rate * decode_rate /
      (static_cast<double>(speed.slots) * speed.slots);
  std::vector<Demand> demands;
  for (const Arrival& it : arrivals) {
    if (it.when < from)
      continue;
    const TimePoint first_token =
        it.when + deployment.FirstTokenTarget(it.rank);
    const TimePoint end =
        first_token + it.output_tokens * deployment.token_gap_target;
    const double transfer_seconds = it.prompt_tokens *
                                    deployment.kv_bytes_per_token /
                                    speed.link_bytes_per_second;
    demands.push_back(
        {BinOf(it.when), BinOf(first_token), BinOf(end),
         (it.output_tokens + lost_tokens_per_second * transfer_seconds) /
             decode_rate,
         it.prompt_tokens / deployment.prefill_tokens_per_second});
  }
  if (demands.empty())
    return 1.0;
  double least = static_cast<double>(demands.size());
  for (const double prefill_price : kPrefillPrices)
    least =
        std::min(least, BoundAtPrice(demands, scenario.fault, prefill_price));
  return least / static_cast<double>(demands.size());
}

}  // namespace briarlead::bench
