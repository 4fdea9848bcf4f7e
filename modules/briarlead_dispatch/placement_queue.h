#ifndef BRIARLEAD_DISPATCH_PLACEMENT_QUEUE_H_
#define BRIARLEAD_DISPATCH_PLACEMENT_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/rank.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// Resources that a queued request is expected to use.
struct PlacementCost {
  double slot_seconds = 0.0;     ///< Time in a decode slot.
  double prefill_seconds = 0.0;  ///< Time on a prefill engine.
  /// Both combined, in slot seconds; determines order and fairness.
  double service_seconds = 0.0;
};

/// A request in the queue.
struct QueuedPlacement {
  /// Identifies the request; increases with arrival.
  std::uint64_t ticket = 0;
  CustomerId customer;
  double weight = 1.0;
  Rank rank = Rank::kPatient;
  PlacementCost cost;
  TimePoint latest_start;  ///< A later start misses the first-token target.
};

/// Work that is served before a request.
struct WorkAhead {
  PlacementCost queued;
  PlacementCost arriving_per_second;  ///< Expected arrivals of shorter work.
};

/// Queued requests of one shard, in the order in which they start. Within a
/// rank, customers share by weighted fair queueing; among the customers within
/// the fairness window, the shortest request goes first. Requests past their
/// latest start are kept separately, first come, first served.
class PlacementQueue {
 public:
  /// Adds a request that is not in the queue.
  void Add(const QueuedPlacement& placement);

  /// Removes a request; nothing happens when it is not in the queue.
  void Remove(std::uint64_t ticket);

  /// Removes a request that starts and charges its cost to its customer.
  void Start(std::uint64_t ticket);

  /// Marks the requests as late whose latest start is before `now`.
  void MarkLate(TimePoint now);

  /// Increments the number of running requests of `customer`.
  void AddRunning(const CustomerId& customer) {
    ++customers_[customer].running;
  }
  /// Decrements the number of running requests of `customer`.
  void RemoveRunning(const CustomerId& customer);

  /// Returns the next on-time request of a customer that has fewer than
  /// `max_running` running requests; nullopt when there is none.
  [[nodiscard]] std::optional<std::uint64_t> NextOnTime(
      Rank rank,
      std::size_t max_running) const;

  /// Returns the oldest late request; nullopt when there is none.
  [[nodiscard]] std::optional<std::uint64_t> NextLate(Rank rank) const;

  /// Returns the number of queued requests, late ones included.
  [[nodiscard]] std::size_t size(Rank rank) const;
  [[nodiscard]] std::size_t size(Rank rank, const CustomerId& customer) const;

  /// Returns the cost of all on-time requests.
  [[nodiscard]] PlacementCost OnTimeCost(Rank rank) const;
  /// Returns the cost of all late requests.
  [[nodiscard]] PlacementCost LateCost(Rank rank) const;
  /// Records the cost of an arriving request, whether admitted or not.
  void OnOffered(Rank rank,
                 const CustomerId& customer,
                 const PlacementCost& cost,
                 TimePoint now);
  /// Returns whether any customer is flooding; see IsFlooding().
  [[nodiscard]] bool HasFlooding(Rank rank) const {
    return StateOf(rank).flooding_weight > 0.0;
  }
  /// Returns whether `customer` offers far more load than the others.
  [[nodiscard]] bool IsFlooding(Rank rank, const CustomerId& customer) const;
  /// Returns the work ahead of a request of `cost` in the whole rank, flooding
  /// customers excluded.
  [[nodiscard]] WorkAhead AheadWithoutFlooding(Rank rank,
                                               const PlacementCost& cost,
                                               TimePoint now) const;
  /// Returns the work ahead of a request of `cost` among its own customer's
  /// requests.
  [[nodiscard]] WorkAhead AheadOfCustomer(Rank rank,
                                          const CustomerId& customer,
                                          const PlacementCost& cost,
                                          TimePoint now) const;
  /// Returns the share of the rank's capacity that the customers that are not
  /// flooding are entitled to.
  [[nodiscard]] double ShareWithoutFlooding(Rank rank) const;
  /// Returns the share of the rank's capacity that `customer` gets while it
  /// competes with the customers that have on-time requests.
  [[nodiscard]] double Share(Rank rank,
                             const CustomerId& customer,
                             double weight) const;

  /// Returns the number of customers that have, or recently had, requests.
  [[nodiscard]] std::size_t KnownCustomerCount() const {
    return customers_.size();
  }

  /// Returns the number of running requests of `customer`.
  [[nodiscard]] std::size_t RunningCount(const CustomerId& customer) const;

  /// Returns when the next on-time request becomes late.
  [[nodiscard]] std::optional<TimePoint> NextLatestStart() const;

 private:
  static constexpr std::size_t kCostClassCount = 24;

  using CostClasses = std::array<PlacementCost, kCostClassCount>;

  /// Offered work per second by cost class, with exponential decay of older
  /// work.
  struct OfferedLoad {
    CostClasses classes{};
    TimePoint updated;
    void Add(std::size_t cost_class, const PlacementCost& cost, TimePoint now);
    /// Returns the offered service seconds per second.
    [[nodiscard]] double ServicePerSecond(TimePoint now) const;
    [[nodiscard]] double DecayFactor(TimePoint now) const;
    [[nodiscard]] PlacementCost CostBelow(std::size_t cost_class,
                                          TimePoint now) const;
  };
  /// Sort key of requests by latest start.
  struct ByLatestStart {
    TimePoint latest_start;
    std::uint64_t ticket = 0;
    friend auto operator<=>(const ByLatestStart&,
                            const ByLatestStart&) = default;
  };
  /// Sort key of requests by cost.
  struct ByCost {
    double service_seconds = 0.0;
    std::uint64_t ticket = 0;
    friend auto operator<=>(const ByCost&, const ByCost&) = default;
  };
  /// Sort key of customers by virtual time.
  struct ByVirtualTime {
    double virtual_time = 0.0;
    CustomerId customer;
    friend auto operator<=>(const ByVirtualTime&,
                            const ByVirtualTime&) = default;
  };
  /// One customer's on-time requests of one rank.
  struct CustomerQueue {
    std::set<ByLatestStart> by_latest_start;
    std::set<ByCost> by_cost;
    CostClasses cost_classes{};
    OfferedLoad offered;
    double virtual_time = 0.0;
    double weight = 1.0;
    std::size_t size = 0;      ///< Late requests included.
    bool is_flooding = false;  ///< Offers far more load than the others.
  };
  struct Customer {
    std::array<CustomerQueue, kRankCount> queues;
    std::size_t running = 0;
  };
  struct RankState {
    std::set<ByVirtualTime> customers;  ///< Customers with on-time requests.
    std::set<ByLatestStart> by_latest_start;
    std::set<std::uint64_t> late;
    CostClasses cost_classes{};
    OfferedLoad offered;
    PlacementCost on_time_cost;
    PlacementCost late_cost;
    double virtual_time = 0.0;
    double active_weight = 0.0;
    TimePoint flooding_updated;
    double known_weight = 0.0;
    double flooding_weight = 0.0;
  };
  struct Entry {
    QueuedPlacement placement;
    bool late = false;
  };

  static PlacementCost SumUpTo(const CostClasses& classes, std::size_t last);
  static std::size_t CostClass(double service_seconds);
  RankState& StateOf(Rank rank) {
    return ranks_[static_cast<std::size_t>(rank)];
  }
  [[nodiscard]] const RankState& StateOf(Rank rank) const {
    return ranks_[static_cast<std::size_t>(rank)];
  }
  static CustomerQueue& CustomerQueueOf(Customer& customer, Rank rank) {
    return customer.queues[static_cast<std::size_t>(rank)];
  }
  void UpdateFlooding(Rank rank, TimePoint now);
  void AddOnTime(const QueuedPlacement& placement);
  void RemoveOnTime(const QueuedPlacement& placement);
  void EraseIfIdle(const CustomerId& customer);

  std::array<RankState, kRankCount> ranks_;
  std::unordered_map<CustomerId, Customer> customers_;
  std::unordered_map<std::uint64_t, Entry> entries_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_PLACEMENT_QUEUE_H_
