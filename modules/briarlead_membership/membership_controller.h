#ifndef BRIARLEAD_MEMBERSHIP_MEMBERSHIP_CONTROLLER_H_
#define BRIARLEAD_MEMBERSHIP_MEMBERSHIP_CONTROLLER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include "briarlead_blackboard/blackboard.h"
#include "briarlead_core/error.h"
#include "briarlead_core/random_source.h"
#include "briarlead_core/time.h"
#include "briarlead_membership/gossip_message.h"
#include "briarlead_membership/host_membership.h"
#include "briarlead_membership/membership_command.h"
#include "briarlead_membership/membership_settings.h"
#include "briarlead_membership/remote_data_centres.h"
#include "briarlead_membership/server_membership.h"

namespace briarlead {

/// The membership protocol of one entry host: tracks the state of hosts,
/// backend servers and other data centres, and gossips about them with the
/// other hosts. Writes `hosts` and `servers` of the blackboard. Performs no
/// I/O: events come in as calls, commands go out through TakeCommands().
///
/// Call Tick() at least every 100 ms, and TakeCommands() after every other
/// call.
class MembershipController {
 public:
  /// `self` is the initial entry of this host. Its incarnation must be higher
  /// than any that the host had in an earlier run. `blackboard` must outlive
  /// this object.
  MembershipController(MembershipSettings settings,
                       const HostEntry& self,
                       std::uint64_t random_seed,
                       Blackboard& blackboard);

  MembershipController(const MembershipController&) = delete;
  MembershipController& operator=(const MembershipController&) = delete;

  /// Handles an announcement that a backend server sent to this host. `version`
  /// increases with each announcement of one incarnation. The state of `record`
  /// must be kServing or kLeaving.
  void OnAnnouncement(const BackendServerRecord& record,
                      std::uint64_t version,
                      TimePoint now);

  /// Handles the payload of an authenticated datagram. Errors: those of
  /// DecodeGossip().
  Result<void> OnGossip(std::string_view bytes, TimePoint now);

  /// Handles the timers that are due.
  void Tick(TimePoint now);

  /// Sets the revision of the lists that this host applies.
  void SetListsRevision(std::uint64_t revision);

  /// Sets the model summaries of this data centre. Delegates send them to the
  /// other data centres.
  void SetModelSummaries(std::vector<ModelSummary> models);

  /// Announces to every host that this one is leaving and takes no new work.
  void StartLeaving(TimePoint now);

  /// Returns the commands issued since the last call, in order.
  MembershipCommands TakeCommands() { return std::exchange(commands_, {}); }

  /// Returns the highest lists revision that any host has reported.
  [[nodiscard]] std::uint64_t highest_lists_revision() const {
    return highest_lists_revision_;
  }

  /// Returns this host's incarnation.
  [[nodiscard]] std::uint64_t incarnation() const {
    return hosts_.self().incarnation;
  }

  /// Returns the hosts that watch backend server `id` for silence.
  [[nodiscard]] std::span<const HostId> WatchersOf(
      const BackendServerId& id) const {
    return servers_.WatchersOf(id);
  }

  /// Returns the latest summary of another data centre; nullopt when there is
  /// none.
  [[nodiscard]] std::optional<DataCentreSummary> SummaryOf(
      const DataCentreId& id,
      TimePoint now) const {
    return remotes_.Find(id, now);
  }

 private:
  /// A ping that this host sent on behalf of another.
  struct IndirectProbe {
    Endpoint requester;
    std::uint64_t sequence = 0;  ///< Of the requester's own ping.
    HostId target;
    TimePoint sent;
  };

  GossipMessage NewMessage(GossipKind kind) const;
  void OnPing(const GossipMessage& message, TimePoint now);
  void OnPingRequest(const GossipMessage& message, TimePoint now);
  void OnAck(const GossipMessage& message, TimePoint now);
  void MergeContents(const GossipMessage& message, TimePoint now);
  void MergeSummary(const DataCentreSummary& summary, TimePoint now);
  void SendProbe(const DueProbe& probe, TimePoint now);
  void SendRelay(const RelayBatch& relay);
  void SendSummary(TimePoint now);
  /// Sends the servers of the groups in which `digest` differs from this
  /// host's own, as far as the broadcast budget allows.
  void SendDifferingServers(const Endpoint& to,
                            const ServerDigest& digest,
                            TimePoint now);
  /// Sends the changes that this host has detected to every host of the data
  /// centre.
  void Broadcast(TimePoint now);
  /// Broadcasts now unless half of the burst budget is used up; otherwise the
  /// next Tick() broadcasts.
  void BroadcastIfBudgetAllows(TimePoint now);
  /// Sends one message with as many of the first `hosts` and `servers` as fit
  /// to all receivers, and removes these from the spans. Returns false and
  /// sends nothing when the broadcast budget does not suffice.
  bool BroadcastOne(std::span<const HostEntry> receivers,
                    std::span<const HostId>& hosts,
                    std::span<const BackendServerId>& servers,
                    TimePoint now);
  /// Piggybacks updates that the receiver may not know on `message` and sends
  /// it.
  void FillAndSend(GossipMessage message,
                   const Endpoint& to,
                   const HostId& to_id,
                   TimePoint now);
  void Send(const GossipMessage& message, const Endpoint& to);
  /// Returns the summary of this data centre; nullopt when this host is not one
  /// of its delegates.
  [[nodiscard]] std::optional<DataCentreSummary> OwnSummary() const;
  /// Returns `message` with the latest summary of data centre `id` added, to be
  /// sent to that data centre: hosts there that don't know each other find one
  /// another by the delegates in it.
  [[nodiscard]] GossipMessage WithSummaryOf(const DataCentreId& id,
                                            GossipMessage message,
                                            TimePoint now) const;
  /// Returns the number of messages that carry each update when `queued`
  /// updates are waiting.
  [[nodiscard]] std::size_t MaxSends(std::size_t queued) const;
  /// Takes `bytes` from the broadcast budget, a token bucket; returns false and
  /// takes nothing when it holds fewer.
  bool SpendBroadcastBudget(double bytes);
  void RefillBroadcastBudget(TimePoint now);

  MembershipSettings settings_;
  RandomSource random_;
  MembershipCommands commands_;
  HostMembership hosts_;
  ServerMembership servers_;
  RemoteDataCentres remotes_;
  const HostTable& host_table_;
  std::vector<ModelSummary> models_;
  std::map<std::uint64_t, IndirectProbe> indirect_probes_;
  std::uint64_t next_indirect_sequence_ = 1;
  std::uint64_t highest_lists_revision_ = 0;
  double broadcast_budget_bytes_ = 0;
  TimePoint last_refill_;
  TimePoint next_summary_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_MEMBERSHIP_MEMBERSHIP_CONTROLLER_H_
