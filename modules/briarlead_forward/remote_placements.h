#ifndef BRIARLEAD_FORWARD_REMOTE_PLACEMENTS_H_
#define BRIARLEAD_FORWARD_REMOTE_PLACEMENTS_H_

#include <chrono>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/random_source.h"
#include "briarlead_core/time.h"
#include "briarlead_forward/engine_load_tracker.h"
#include "briarlead_forward/model_placer.h"
#include "briarlead_routes/engine_placement_message.h"
#include "briarlead_routes/route_table.h"

namespace briarlead {

/// A reply to the host that receives frames at `host`.
struct OutgoingPlacementReply {
  Endpoint host;
  EnginePlacementReply reply;
};

/// Places the model requests of other entry hosts. A request that finds no room
/// stays in the queue as long as its host repeats it, and is placed when it is
/// its turn. Takes events and produces replies; does no I/O.
class RemotePlacements {
 public:
  /// A waiting request that its host has not repeated for this long is dropped.
  static constexpr Duration kRequestLife = std::chrono::milliseconds(600);
  /// Time that a host must have been an owner before it places requests: by
  /// then it has the load reports of all hosts.
  static constexpr Duration kWarmUp = std::chrono::milliseconds(700);

  /// Least time between two rounds of placing waiting requests: a round costs
  /// far more than a load report.
  static constexpr Duration kPlaceInterval = std::chrono::milliseconds(15);

  /// Share of the placements that late requests of lower ranks get ahead of all
  /// others, so that a flood of more urgent requests does not starve them.
  static constexpr double kFloorShare = 0.1;
  /// Placements that can be saved up under kFloorShare.
  static constexpr double kMaxFloorCredit = 3;

  RemotePlacements(EngineLoadTracker& load_tracker,
                   const ModelPlacer& placer,
                   ServerPool& pool,
                   RandomSource& random)
      : load_tracker_(load_tracker),
        placer_(placer),
        pool_(pool),
        random_(random) {}

  /// Sets whether this host owns the engines.
  void SetOwner(bool owns_engines, TimePoint now);

  /// Handles a request of the host that is named `host` and receives frames at
  /// `peers`. `table` is the list of routes in force; it may be null.
  void OnRequest(const HostId& host,
                 const Endpoint& peers,
                 const EnginePlacementRequest& request,
                 const RouteTable* table,
                 TimePoint now);

  /// Places the waiting requests whose turn has come. To be called after
  /// changes of the engines' load, at most every kPlaceInterval.
  void PlaceWaiting(const RouteTable* table, TimePoint now);

  [[nodiscard]] std::size_t waiting_count() const { return waiting_.size(); }

  /// Removes and returns the replies to send.
  std::vector<OutgoingPlacementReply> TakeReplies();

 private:
  /// The waiting requests of one service, in the order of their keys.
  using Queue = std::vector<std::pair<ServingOrderKey, HostRequest>>;

  struct Waiting {
    Endpoint peers;
    EnginePlacementRequest request;
    TimePoint target;
    TimePoint ends;
    Duration expected_wait = Duration::zero();
  };
  /// A placement that the host may not have received.
  struct Placed {
    EnginePlacementReply reply;
    TimePoint ends;
  };

  [[nodiscard]] bool IsReady(TimePoint now) const;
  /// Asks for permits for the engines that named a limit.
  void WantPermits(const ServiceId& service, TimePoint now);
  /// Sends the reply again if the request was placed and its host asks for the
  /// same placement; returns whether it did.
  bool RepeatPlacement(const HostRequest& id,
                       const EnginePlacementRequest& request,
                       const Endpoint& peers);
  /// Places the request, or leaves it in the queue if others come first.
  ModelPlacer::Answer Decide(const HostRequest& id,
                             const EnginePlacementRequest& request,
                             const ModelDemand& demand,
                             const EngineTraits& traits,
                             TimePoint now) const;
  /// Returns whether the request comes after one that found no room.
  [[nodiscard]] bool ComesAfterWaiting(const EnginePlacementRequest& request,
                                       TimePoint now) const;
  /// Returns the reply that states `answer`, and counts the load of a
  /// placement.
  EnginePlacementReply ReplyTo(const HostRequest& id,
                               const EnginePlacementRequest& request,
                               const ModelDemand& demand,
                               const ModelPlacer::Answer& answer,
                               TimePoint now);
  /// Returns the waiting requests for `service` in the order in which they are
  /// placed.
  [[nodiscard]] Queue QueueFor(const ServiceId& service, TimePoint now) const;
  /// Moves the late requests of lower ranks that are owed a placement to the
  /// front; returns their number.
  std::size_t PutFloorFirst(Queue& queue) const;
  void PlaceWaitingFor(const ServiceId& service,
                       const EngineTraits& traits,
                       TimePoint now);
  void Expire(TimePoint now);

  EngineLoadTracker& load_tracker_;
  const ModelPlacer& placer_;
  ServerPool& pool_;
  RandomSource& random_;
  std::optional<TimePoint> owner_since_;
  std::map<HostRequest, Waiting> waiting_;
  std::map<HostRequest, Placed> placed_;
  double floor_credit_ = 0;
  std::vector<OutgoingPlacementReply> replies_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_REMOTE_PLACEMENTS_H_
