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
/// Samples from which a sketch is trusted.
constexpr double kTrustedSamples = 12.0;
constexpr std::size_t kMaxOutputKinds = 4096;
/// Weight of a new sample in the running averages.
constexpr double kSampleWeight = 0.1;
constexpr std::uint32_t kMinPrefillTokensToLearn = 256;
constexpr std::uint32_t kMinStepsToLearn = 8;
/// Classes of output limits a factor of two.
constexpr double kLimitClassesPerOctave = 2.0;

void Blend(double& average, double sample) {
  average += kSampleWeight * (sample - average);
}

}  // namespace

CostModel::CostModel() : kv_bytes_per_token_(kPriorKvBytesPerToken) {
  typical_.prefill_tokens_per_second = kPriorPrefillTokensPerSecond;
  typical_.step_seconds = kPriorStepSeconds;
}

std::size_t CostModel::OutputKindHash::operator()(
    const OutputKind& kind) const noexcept {
  const std::size_t seed = std::hash<CustomerId>()(kind.customer);
  return (seed * 1099511628211U ^ static_cast<std::size_t>(kind.rank)) *
             1099511628211U ^
         kind.limit_class;
}

CostModel::OutputKind CostModel::KindOf(const PlacementRequest& placement) {
  const double limit = std::max(placement.max_output_tokens, 1U);
  return {
      placement.customer, placement.rank,
      static_cast<std::uint32_t>(std::log2(limit) * kLimitClassesPerOctave)};
}

const DecayingHistogram* CostModel::SketchFor(
    const PlacementRequest& placement) const {
  OutputKind kind = KindOf(placement);
  auto it = by_kind_.find(kind);
  if (it != by_kind_.end() && it->second.weight() >= kTrustedSamples)
    return &it->second;
  kind.customer = CustomerId();
  it = by_kind_.find(kind);
  if (it != by_kind_.end() && it->second.weight() >= kTrustedSamples)
    return &it->second;
  const auto& rank_sketch = by_rank_[static_cast<std::size_t>(placement.rank)];
  return rank_sketch.weight() >= kTrustedSamples ? &rank_sketch : nullptr;
}

double CostModel::ExpectedOutput(const PlacementRequest& placement) const {
  const double limit = std::max(placement.max_output_tokens, 1U);
  const DecayingHistogram* sketch = SketchFor(placement);
  const double whole = sketch != nullptr ? std::min(sketch->Mean(), limit)
                                         : kPriorOutputShareOfLimit * limit;
  return std::max(whole - placement.delivered_tokens, 1.0);
}

double CostModel::ShareLongerThan(const PlacementRequest& placement,
                                  double tokens) const {
  const double limit = std::max(placement.max_output_tokens, 1U);
  if (tokens >= limit)
    return 0.0;
  const DecayingHistogram* sketch = SketchFor(placement);
  if (sketch == nullptr)
    return 1.0;
  return sketch->ShareAbove(tokens);
}

void CostModel::LearnOutput(const PlacementRequest& placement,
                            std::uint32_t tokens) {
  by_rank_[static_cast<std::size_t>(placement.rank)].Add(tokens);
  OutputKind kind = KindOf(placement);
  if (by_kind_.size() < kMaxOutputKinds || by_kind_.contains(kind))
    by_kind_[kind].Add(tokens);
  kind.customer = CustomerId();
  if (by_kind_.size() < kMaxOutputKinds || by_kind_.contains(kind))
    by_kind_[kind].Add(tokens);
}

const CostModel::EngineRates& CostModel::RatesOf(
    const BackendServerId& server) const {
  const auto it = engines_.find(server);
  return it != engines_.end() ? it->second : typical_;
}

CostModel::EngineRates& CostModel::MutableRatesOf(
    const BackendServerId& server) {
  return engines_.try_emplace(server, typical_).first->second;
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
  Blend(MutableRatesOf(server).prefill_tokens_per_second, rate);
  Blend(typical_.prefill_tokens_per_second, rate);
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
  Blend(MutableRatesOf(server).step_seconds, step);
  Blend(typical_.step_seconds, step);
}

std::uint64_t CostModel::KvBytes(std::uint32_t tokens) const {
  return static_cast<std::uint64_t>(tokens * kv_bytes_per_token_);
}

void CostModel::LearnKvBytes(std::uint32_t tokens, std::uint64_t bytes) {
  if (tokens == 0 || bytes == 0)
    return;
  Blend(kv_bytes_per_token_, static_cast<double>(bytes) / tokens);
}

}  // namespace briarlead
