#ifndef BENCH_POLICIES_H_
#define BENCH_POLICIES_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>

#include "bench/baseline_placer.h"
#include "briarlead_core/random_source.h"
#include "briarlead_dispatch/dispatcher.h"
#include "briarlead_dispatch/shard_chooser.h"

namespace briarlead::bench {

/// What a bench run needs of a way of placing requests: a placer for each pool
/// shard, and the choice of a shard at the entry host.
template <typename T>
concept PlacementPolicy = requires(T policy,
                                   std::span<const ShardSummary> shards,
                                   const DataCentreId& home,
                                   const Blackboard& blackboard,
                                   RandomSource& random) {
  typename T::Placer;
  {
    policy.MakePlacer(home, ModelId(), blackboard)
    } -> std::same_as<std::unique_ptr<typename T::Placer>>;
  {
    policy.ChooseShard(shards, home, Rank::kUrgent,
                       std::optional<DataCentreId>(), random)
    } -> std::same_as<std::optional<std::size_t>>;
};

/// briarlead itself.
class BriarleadPolicy {
 public:
  using Placer = Dispatcher;

  BriarleadPolicy() = default;
  explicit BriarleadPolicy(const DispatcherOptions& options)
      : options_(options) {}

  std::unique_ptr<Placer> MakePlacer(const DataCentreId& home,
                                     const ModelId& model,
                                     const Blackboard& blackboard) {
    return std::make_unique<Dispatcher>(home, model, blackboard, options_);
  }
  std::optional<std::size_t> ChooseShard(
      std::span<const ShardSummary> shards,
      const DataCentreId& home,
      Rank rank,
      const std::optional<DataCentreId>& tried,
      RandomSource& random) {
    return ShardChooser::Choose(shards, home, rank, tried, random);
  }

 private:
  DispatcherOptions options_;
};

/// One of the baselines.
class BaselinePolicy {
 public:
  using Placer = BaselinePlacer;

  explicit BaselinePolicy(Baseline way) : way_(way) {}

  std::unique_ptr<Placer> MakePlacer(const DataCentreId& home,
                                     const ModelId& model,
                                     const Blackboard& blackboard) {
    return std::make_unique<BaselinePlacer>(way_, home, model, blackboard);
  }
  std::optional<std::size_t> ChooseShard(
      std::span<const ShardSummary> shards,
      const DataCentreId& home,
      Rank rank,
      const std::optional<DataCentreId>& tried,
      RandomSource& random);

 private:
  Baseline way_;
  std::uint64_t turn_ = 0;
};

}  // namespace briarlead::bench

#endif  // BENCH_POLICIES_H_
