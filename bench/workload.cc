#include "bench/workload.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "briarlead_core/random_source.h"

namespace briarlead::bench {
namespace {

constexpr std::uint64_t kFloodSeedOffset = 7919;
constexpr std::uint32_t kMeanSamples = 20'000;
constexpr std::uint64_t kMeanSeed = 12345;

double Draw(const LengthShape& shape, RandomSource& random) {
  const double value = shape.median * std::exp(shape.sigma * random.Normal());
  return std::clamp(value, shape.low, shape.high);
}

double MeanOutput(const Deployment& deployment) {
  RandomSource random(kMeanSeed);
  double mean = 0.0;
  for (const RequestKind& kind : deployment.kinds) {
    double sum = 0.0;
    for (std::uint32_t i = 0; i < kMeanSamples; ++i)
      sum += Draw(kind.output, random);
    mean += kind.share * sum / kMeanSamples;
  }
  return mean;
}

Arrival DrawArrival(const Deployment& deployment,
                    const RequestKind& kind,
                    RandomSource& random) {
  Arrival arrival;
  arrival.data_centre = static_cast<std::uint32_t>(random.Below(kDataCentres));
  arrival.customer =
      static_cast<std::uint32_t>(random.Below(deployment.customers));
  arrival.rank = kind.rank;
  arrival.prompt_tokens = static_cast<std::uint32_t>(Draw(kind.prompt, random));
  arrival.output_tokens =
      std::max(static_cast<std::uint32_t>(Draw(kind.output, random)), 2U);
  arrival.max_output_tokens = static_cast<std::uint32_t>(kind.output.high);
  return arrival;
}

void AddPoisson(const Deployment& deployment,
                const RequestKind& kind,
                double rate,
                TimePoint from,
                TimePoint to,
                RandomSource& random,
                std::vector<Arrival>& arrivals) {
  TimePoint when = from;
  for (;;) {
    when += FromSeconds(random.Exponential(1.0 / rate));
    if (when >= to)
      return;
    Arrival arrival = DrawArrival(deployment, kind, random);
    arrival.when = when;
    arrivals.push_back(arrival);
  }
}

/// Returns how much a flood adds to the rate of `kind`.
double FloodRate(const Deployment& deployment,
                 const RequestKind& kind,
                 const Flood& flood,
                 double rate) {
  const bool asked = kind.rank == Rank::kUrgent ? flood.urgent : flood.patient;
  if (!asked)
    return 0.0;
  const double own =
      flood.customer && flood.of_own_rate ? rate / deployment.customers : rate;
  return own * (flood.factor - 1.0);
}

}  // namespace

Deployment CooperativeDeployment() {
  Deployment deployment;
  deployment.name = "co-operative";
  deployment.customers = 6;
  deployment.kinds = {
      {"visit confirmation",
       Rank::kUrgent,
       0.30,
       {150, 0.7, 20, 1'500},
       {28, 0.4, 2, 80}},
      {"quote summary",
       Rank::kPatient,
       0.42,
       {4'000, 0.8, 300, 32'000},
       {85, 0.35, 8, 160}},
      {"materials note",
       Rank::kPatient,
       0.28,
       {4'000, 0.8, 300, 32'000},
       {265, 0.35, 16, 500}},
  };
  deployment.prefill_tokens_per_second = 15'000.0;
  deployment.urgent_first_token_target = std::chrono::milliseconds(1'200);
  deployment.patient_first_token_target = std::chrono::seconds(10);
  deployment.token_gap_target = std::chrono::milliseconds(63);
  return deployment;
}

Deployment HemlineDeployment() {
  Deployment deployment;
  deployment.name = "hemline";
  deployment.customers = 8;
  deployment.kinds = {
      {"stock check",
       Rank::kUrgent,
       0.20,
       {200, 0.7, 20, 2'000},
       {24, 0.4, 2, 64}},
      {"catalogue question",
       Rank::kPatient,
       0.40,
       {9'000, 0.7, 300, 40'000},
       {132, 0.35, 8, 256}},
      {"contract summary",
       Rank::kPatient,
       0.16,
       {15'000, 0.6, 1'000, 40'000},
       {380, 0.35, 16, 700}},
      {"quote draft",
       Rank::kPatient,
       0.24,
       {3'000, 0.7, 200, 30'000},
       {210, 0.35, 8, 400}},
  };
  deployment.prefill_tokens_per_second = 22'000.0;
  deployment.urgent_first_token_target = std::chrono::milliseconds(1'200);
  deployment.patient_first_token_target = std::chrono::seconds(6);
  deployment.token_gap_target = std::chrono::milliseconds(63);
  return deployment;
}

std::vector<Arrival> MakeArrivals(const Deployment& deployment,
                                  double load,
                                  const std::optional<Flood>& flood,
                                  TimePoint end,
                                  std::uint64_t seed) {
  const double rate = load * kDataCentres *
                      deployment.decode.TokensPerSecond() /
                      MeanOutput(deployment);
  std::vector<Arrival> arrivals;
  RandomSource random(seed);
  for (const RequestKind& kind : deployment.kinds)
    AddPoisson(deployment, kind, rate * kind.share, TimePoint(), end, random,
               arrivals);
  if (flood) {
    RandomSource flood_random(seed + kFloodSeedOffset);
    for (const RequestKind& kind : deployment.kinds) {
      const double extra =
          FloodRate(deployment, kind, *flood, rate * kind.share);
      if (extra <= 0.0)
        continue;
      const std::size_t first = arrivals.size();
      AddPoisson(deployment, kind, extra, flood->from, flood->to, flood_random,
                 arrivals);
      for (std::size_t i = first; i < arrivals.size(); ++i) {
        arrivals[i].flood = true;
        if (flood->customer)
          arrivals[i].customer = *flood->customer;
      }
    }
  }
  std::stable_sort(
      arrivals.begin(), arrivals.end(),
      [](const Arrival& a, const Arrival& b) { return a.when < b.when; });
  return arrivals;
}

}  // namespace briarlead::bench
