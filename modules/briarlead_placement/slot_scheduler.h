#ifndef BRIARLEAD_PLACEMENT_SLOT_SCHEDULER_H_
#define BRIARLEAD_PLACEMENT_SLOT_SCHEDULER_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/time.h"
#include "briarlead_placement/fair_shares.h"
#include "briarlead_placement/work_time.h"
#include "briarlead_routes/server_record.h"
#include "briarlead_routes/slot_message.h"

namespace briarlead {

/// A reply to the host that receives frames at `host`.
struct OutgoingSlotReply {
  Endpoint host;
  SlotReply reply;
};

/// Hands out the slots of plain services' servers to the requests of all entry
/// hosts. Answers the load of a fleet in which many hosts share few servers:
/// each host sees too few requests to know the servers' load, so in a burst
/// requests pile up in the servers' own queues, in the order of their arrival,
/// until all of them are late. Here a server gets hardly more requests than it
/// has slots, and the others wait in one queue: those that can still meet their
/// target first, then by rank, then accounts below their fair share, then by
/// target. What can't be served in its time is refused at once.
///
/// Takes events and produces replies; does no I/O. What a scheduler doesn't
/// know (a restart, a second scheduler during a network partition, lost
/// releases) only makes servers queue requests themselves.
class SlotScheduler {
 public:
  /// Requests per server beyond its slots. They cover the time that a release
  /// and the next request are on their way.
  static constexpr std::uint32_t kQueuedPerServer = 1;
  /// A waiting request that its host has not repeated for this long is dropped.
  static constexpr Duration kRequestLife = std::chrono::milliseconds(1200);
  /// Of the grants to waiting requests, one in so many goes to the late request
  /// with the earliest deadline, so that late ones don't starve.
  static constexpr unsigned kGrantsPerLateGrant = 16;
  /// Part of a request's time that it may be expected to wait.
  static constexpr double kMaxWaitShare = 0.7;
  /// Waiting places that an account has at least.
  static constexpr std::size_t kMinPlaces = 2;

  /// Handles a request of the host that receives frames at `host`. `usable` are
  /// the servers of the service that may get requests.
  void OnRequest(const Endpoint& host,
                 const SlotRequest& request,
                 std::span<const ServerRecord> usable,
                 TimePoint now);

  void OnRelease(const Endpoint& host,
                 const SlotRelease& release,
                 TimePoint now);

  /// Grants free slots of `service` to its waiting requests, and refuses those
  /// that can't be served any more.
  void PlaceWaiting(const ServiceId& service,
                    std::span<const ServerRecord> usable,
                    TimePoint now);

  /// Returns the services for which requests wait.
  [[nodiscard]] std::set<ServiceId> WaitingServices() const;
  [[nodiscard]] std::size_t waiting_count() const;
  [[nodiscard]] std::size_t granted_count() const { return grants_.size(); }

  /// Removes and returns the replies to send.
  std::vector<OutgoingSlotReply> TakeReplies();

 private:
  struct RequestId {
    Endpoint host;
    std::uint64_t key = 0;

    friend auto operator<=>(const RequestId&, const RequestId&) = default;
  };
  struct Waiting {
    RequestId id;
    SlotRequest request;
    TimePoint target;
    TimePoint deadline;
    TimePoint ends;            ///< Unless its host repeats it.
    bool above_share = false;  ///< Its account is, as of the last comparison.
  };
  /// The requests for one service.
  struct Queue {
    WorkTime work_time;
    std::vector<Waiting> waiting;
    unsigned grants_since_late = 0;
    TimePoint compared_at;  ///< When accounts were compared with their shares.
  };
  /// A slot in use.
  struct Grant {
    SlotReply reply;
    ServiceId service;
    TimePoint ends;  ///< When the slot counts as free though none released it.
  };
  struct ServerLoad {
    std::uint32_t in_use = 0;
    double failure_share = 0;  ///< Of its latest requests.
    unsigned failures_in_row = 0;
    TimePoint paused_until;  ///< After it rejected a request or failed.
  };
  struct Choice {
    std::size_t index = 0;  ///< In the queue.
    const ServerRecord* server = nullptr;
    bool passes_late = false;  ///< Late requests wait meanwhile.
  };
  /// Order of waiting requests; the lesser one is served first.
  struct Order {
    bool late = false;
    std::uint32_t rank = 0;
    bool above_share = false;
    TimePoint due;  ///< Target, or deadline of a late request.

    friend auto operator<=>(const Order&, const Order&) = default;
  };

  [[nodiscard]] static Order OrderOf(const Waiting& waiting,
                                     Duration usual_time,
                                     TimePoint now);
  /// Returns the server with the lightest load that has a free slot.
  [[nodiscard]] const ServerRecord* FindServer(
      const SlotRequest& request,
      std::span<const ServerRecord> usable,
      TimePoint now) const;
  void Reply(const RequestId& id,
             const SlotRequest& request,
             SlotVerdict verdict,
             Duration next_in = Duration::zero());
  void GrantSlot(const RequestId& id,
                 const SlotRequest& request,
                 const ServerRecord& server,
                 TimePoint now);
  /// Queues the request, or refuses it if its wait would be too long.
  void Enqueue(const RequestId& id,
               const SlotRequest& request,
               std::span<const ServerRecord> usable,
               TimePoint now);
  /// Grants free slots to the waiting requests of `queue`, and refuses those
  /// that can't be served any more.
  void PlaceQueue(Queue& queue,
                  std::span<const ServerRecord> usable,
                  TimePoint now);
  /// Returns the expected wait behind the requests that come before `waiting`.
  [[nodiscard]] static Duration ExpectedWait(
      const Queue& queue,
      const Waiting& waiting,
      std::span<const ServerRecord> usable,
      TimePoint now);
  /// Returns whether the account has all the waiting places of its share.
  [[nodiscard]] bool HasAllItsPlaces(
      const Queue& queue,
      const SlotRequest& request,
      std::span<const ServerRecord> usable) const;
  /// Returns the waiting request that is served next, and its server; nullopt
  /// if none has a free slot.
  [[nodiscard]] std::optional<Choice> NextWaiting(
      const Queue& queue,
      std::span<const ServerRecord> usable,
      TimePoint now) const;
  /// Compares the accounts of waiting requests with their fair shares.
  void CompareShares(Queue& queue, TimePoint now) const;
  void EndGrant(std::map<RequestId, Grant>::iterator grant);
  void Expire(TimePoint now);

  std::map<ServiceId, Queue> queues_;
  std::map<RequestId, Grant> grants_;
  std::map<ServerIncarnation, ServerLoad> loads_;
  FairShares shares_;
  TimePoint next_expiry_;
  std::vector<OutgoingSlotReply> replies_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_PLACEMENT_SLOT_SCHEDULER_H_
