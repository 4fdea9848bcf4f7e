#include "briarlead_dispatch/cost_model.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace briarlead {
namespace {

constexpr double kPriorPrefillTokensPerSecond = 4000.0;
constexpr double kPriorStepSeconds = 0.05;
constexpr double kPriorKvBytesPerToken = 128.0 * 1024;
constexpr double kPriorOutputShareOfLimit = 0.6;
/// Minimum effective number of samples for which a histogram is used.
constexpr double kMinTrustedSamples = 12.0;
constexpr std::size_t kMaxOutputClasses = 4096;
/// Weight of a new sample in the running averages.
constexpr double kSampleWeight = 0.1;
constexpr std::uint32_t kMinPrefillTokensToLearn = 256;
constexpr std::uint32_t kMinStepsToLearn = 8;
/// Classes of output limits for each doubling of the limit.
constexpr double kLimitClassesPerOctave = 2.0;

void UpdateAverage(double& average, double sample) {
  average += kSampleWeight * (sample - average);
}

}  // namespace

CostModel::CostModel() : kv_bytes_per_token_(kPriorKvBytesPerToken) {
  average_rates_.prefill_tokens_per_second = kPriorPrefillTokensPerSecond;
  average_rates_.step_seconds = kPriorStepSeconds;
}

std::size_t CostModel::OutputClassHash::operator()(
    const OutputClass& output_class) const noexcept {
  const std::size_t seed = std::hash<CustomerId>()(output_class.customer);
  return (seed * 1099511628211U ^ static_cast<std::size_t>(output_class.rank)) *
             1099511628211U ^
         output_class.limit_class;
}

CostModel::OutputClass CostModel::ClassOf(const PlacementRequest& placement) {
  const double limit = std::max(placement.max_output_tokens, 1U);
  return {
      placement.customer, placement.rank,
      static_cast<std::uint32_t>(std::log2(limit) * kLimitClassesPerOctave)};
}

const DecayingHistogram* CostModel::HistogramFor(
    const PlacementRequest& placement) const {
  OutputClass output_class = ClassOf(placement);
  auto it = by_class_.find(output_class);
  if (it != by_class_.end() && it->second.weight() >= kMinTrustedSamples)
    return &it->second;
  output_class.customer = CustomerId();
  it = by_class_.find(output_class);
  if (it != by_class_.end() && it->second.weight() >= kMinTrustedSamples)
    return &it->second;
  const auto& rank_histogram =
      by_rank_[static_cast<std::size_t>(placement.rank)];
  return rank_histogram.weight() >= kMinTrustedSamples ? &rank_histogram
                                                       : nullptr;
}

double CostModel::ExpectedOutput(const PlacementRequest& placement) const {
  const double limit = std::max(placement.max_output_tokens, 1U);
  const DecayingHistogram* histogram = HistogramFor(placement);
  const double total = histogram != nullptr ? std::min(histogram->Mean(), limit)
                                            : kPriorOutputShareOfLimit * limit;
  return std::max(total - placement.delivered_tokens, 1.0);
}

double CostModel::ProbabilityLongerThan(const PlacementRequest& placement,
                                        double tokens) const {
  const double limit = std::max(placement.max_output_tokens, 1U);
  if (tokens >= limit)
    return 0.0;
  const DecayingHistogram* histogram = HistogramFor(placement);
  if (histogram == nullptr)
    return 1.0;
  return histogram->ShareAbove(tokens);
}

void CostModel::LearnOutput(const PlacementRequest& placement,
                            std::uint32_t tokens) {
  by_rank_[static_cast<std::size_t>(placement.rank)].Add(tokens);
  OutputClass output_class = ClassOf(placement);
  if (by_class_.size() < kMaxOutputClasses || by_class_.contains(output_class))
    by_class_[output_class].Add(tokens);
  output_class.customer = CustomerId();
  if (by_class_.size() < kMaxOutputClasses || by_class_.contains(output_class))
    by_class_[output_class].Add(tokens);
}

const CostModel::EngineRates& CostModel::RatesOf(
    const BackendServerId& server) const {
  const auto it = engines_.find(server);
  return it != engines_.end() ? it->second : average_rates_;
}

CostModel::EngineRates& CostModel::MutableRatesOf(
    const BackendServerId& server) {
  return engines_.try_emplace(server, average_rates_).first->second;
}

Duration CostModel::PrefillTime(const BackendServerId& server,
                                std::uint32_t tokens) const {
  return FromSeconds(tokens / RatesOf(server).prefill_tokens_per_second);
}

void CostModel::LearnPrefill(const BackendServerId& server,
                             std::uint32_t tokens,
                             Duration took) {
  if (tokens < kMinPrefillTokensToLearn || took <= Duration::zero())
    return;
  const double rate = tokens / ToSeconds(took);
  UpdateAverage(MutableRatesOf(server).prefill_tokens_per_second, rate);
  UpdateAverage(average_rates_.prefill_tokens_per_second, rate);
}

double CostModel::StepSeconds(const BackendServerId& server) const {
  return RatesOf(server).step_seconds;
}

void CostModel::LearnSteps(const BackendServerId& server,
                           std::uint32_t tokens,
                           Duration took) {
  if (tokens < kMinStepsToLearn || took <= Duration::zero())
    return;
  const double step = ToSeconds(took) / tokens;
  UpdateAverage(MutableRatesOf(server).step_seconds, step);
  UpdateAverage(average_rates_.step_seconds, step);
}

std::uint64_t CostModel::KvBytes(std::uint32_t tokens) const {
  return static_cast<std::uint64_t>(tokens * kv_bytes_per_token_);
}

void CostModel::LearnKvBytes(std::uint32_t tokens, std::uint64_t bytes) {
  if (tokens == 0 || bytes == 0)
    return;
  UpdateAverage(kv_bytes_per_token_, static_cast<double>(bytes) / tokens);
}

}  // namespace briarlead
