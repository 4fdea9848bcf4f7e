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

/// What a queued request is expected to use.
struct PlacementCost {
  double slot_seconds = 0.0;     ///< Time in a decode slot.
  double prefill_seconds = 0.0;  ///< Time on a prefill engine.
  /// Both together, in slot seconds: what order and fairness go by.
  double service_seconds = 0.0;
};

/// A request in the queue.
struct QueuedPlacement {
  std::uint64_t ticket = 0;  ///< Names the request; grows with arrival.
  CustomerId customer;
  double weight = 1.0;
  Rank rank = Rank::kPatient;
  PlacementCost cost;
  TimePoint latest_start;  ///< Started later, it misses its first token target.
};

/// Work that goes before a request.
struct WorkAhead {
  PlacementCost queued;
  PlacementCost arriving_per_second;  ///< Shorter work still to come.
};

/// Queued requests of one shard in the order in which they are to start: inside
/// a rank, weighted fair by customer, and within the room that fairness leaves
/// the shortest first. Requests past their latest start stand apart, first come
/// first served.
class PlacementQueue {
 public:
  /// Adds a request that is not in the queue.
  void Add(const QueuedPlacement& placement);

  /// Removes a request; nothing happens when it is not in the queue.
  void Remove(std::uint64_t ticket);

  /// Removes a request that starts and charges its customer for it.
  void Start(std::uint64_t ticket);

  /// Sets the requests apart whose latest start is before `now`.
  void SetLateApart(TimePoint now);

  /// Counts a running request of `customer`.
  void Hold(const CustomerId& customer) { ++customers_[customer].held; }
  /// Ends what Hold() began.
  void Release(const CustomerId& customer);

  /// Returns the next request on time of a customer that runs fewer than
  /// `max_held` requests; nullopt when there is none.
  [[nodiscard]] std::optional<std::uint64_t> NextOnTime(
      Rank rank,
      std::size_t max_held) const;

  /// Returns the oldest late request; nullopt when there is none.
  [[nodiscard]] std::optional<std::uint64_t> NextLate(Rank rank) const;

  /// Returns the number of requests, late ones included.
  [[nodiscard]] std::size_t size(Rank rank) const;
  [[nodiscard]] std::size_t size(Rank rank, const CustomerId& customer) const;

  /// Returns the cost of all requests on time.
  [[nodiscard]] PlacementCost OnTimeCost(Rank rank) const;
  /// Returns the cost of all late requests.
  [[nodiscard]] PlacementCost LateCost(Rank rank) const;
  /// Counts work that was asked for, whether it is taken or not.
  void OnOffered(Rank rank,
                 const CustomerId& customer,
                 const PlacementCost& cost,
                 TimePoint now);
  /// Returns whether any customer does what Floods() says.
  [[nodiscard]] bool HasFloods(Rank rank) const {
    return StateOf(rank).flooding_weight > 0.0;
  }
  /// Returns whether `customer` asks for far more than the others do.
  [[nodiscard]] bool Floods(Rank rank, const CustomerId& customer) const;
  /// Returns what goes before a request of `cost`, of the whole rank but for
  /// the customers that flood.
  [[nodiscard]] WorkAhead AheadWithoutFloods(Rank rank,
                                             const PlacementCost& cost,
                                             TimePoint now) const;
  /// Returns what goes before a request of `cost`, of its own customer.
  [[nodiscard]] WorkAhead AheadOfCustomer(Rank rank,
                                          const CustomerId& customer,
                                          const PlacementCost& cost,
                                          TimePoint now) const;
  /// Returns the share of the rank that those who don't flood are entitled to.
  [[nodiscard]] double ShareWithoutFloods(Rank rank) const;
  /// Returns the share of the rank that `customer` has while it and the
  /// customers with requests on time are served.
  [[nodiscard]] double Share(Rank rank,
                             const CustomerId& customer,
                             double weight) const;

  /// Returns the number of customers that have, or lately had, requests.
  [[nodiscard]] std::size_t KnownCustomers() const { return customers_.size(); }

  /// Returns the number of running requests of `customer`.
  [[nodiscard]] std::size_t Held(const CustomerId& customer) const;

  /// Returns when the next request on time becomes late.
  [[nodiscard]] std::optional<TimePoint> NextLatestStart() const;

 private:
  static constexpr std::size_t kCostClassCount = 24;

  using CostClasses = std::array<PlacementCost, kCostClassCount>;

  /// Work asked for a second, by cost class; older work fades.
  struct OfferedWork {
    CostClasses classes{};
    TimePoint updated;
    void Add(std::size_t cost_class, const PlacementCost& cost, TimePoint now);
    /// Returns the service seconds asked for a second.
    [[nodiscard]] double Service(TimePoint now) const;
    [[nodiscard]] double Fade(TimePoint now) const;
    [[nodiscard]] PlacementCost Below(std::size_t cost_class,
                                      TimePoint now) const;
  };
  /// Key of the order by deadline.
  struct ByStart {
    TimePoint latest_start;
    std::uint64_t ticket = 0;
    friend auto operator<=>(const ByStart&, const ByStart&) = default;
  };
  /// Key of the order by cost.
  struct ByCost {
    double service_seconds = 0.0;
    std::uint64_t ticket = 0;
    friend auto operator<=>(const ByCost&, const ByCost&) = default;
  };
  /// Key of the order of customers.
  struct ByFinish {
    double virtual_time = 0.0;
    CustomerId customer;
    friend auto operator<=>(const ByFinish&, const ByFinish&) = default;
  };
  /// One customer's on-time requests of one rank.
  struct CustomerLane {
    std::set<ByStart> by_start;
    std::set<ByCost> by_cost;
    CostClasses cost_classes{};
    OfferedWork offered;
    double virtual_time = 0.0;
    double weight = 1.0;
    std::size_t size = 0;  ///< Late requests included.
    bool floods = false;   ///< Asks for far more than the others do.
  };
  struct Customer {
    std::array<CustomerLane, kRankCount> lanes;
    std::size_t held = 0;
  };
  struct RankState {
    std::set<ByFinish> customers;  ///< Those with requests on time.
    std::set<ByStart> by_start;
    std::set<std::uint64_t> late;
    CostClasses cost_classes{};
    OfferedWork offered;
    PlacementCost on_time_cost;
    PlacementCost late_cost;
    double virtual_time = 0.0;
    double active_weight = 0.0;
    TimePoint floods_updated;
    double known_weight = 0.0;
    double flooding_weight = 0.0;
  };
  struct Entry {
    QueuedPlacement placement;
    bool late = false;
  };

  static PlacementCost UpTo(const CostClasses& classes, std::size_t last);
  static std::size_t CostClass(double service_seconds);
  RankState& StateOf(Rank rank) {
    return ranks_[static_cast<std::size_t>(rank)];
  }
  [[nodiscard]] const RankState& StateOf(Rank rank) const {
    return ranks_[static_cast<std::size_t>(rank)];
  }
  static CustomerLane& LaneOf(Customer& customer, Rank rank) {
    return customer.lanes[static_cast<std::size_t>(rank)];
  }
  void UpdateFloods(Rank rank, TimePoint now);
  void Link(const QueuedPlacement& placement);
  void Unlink(const QueuedPlacement& placement);
  void DropIfIdle(const CustomerId& customer);

  std::array<RankState, kRankCount> ranks_;
  std::unordered_map<CustomerId, Customer> customers_;
  std::unordered_map<std::uint64_t, Entry> entries_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_PLACEMENT_QUEUE_H_
