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

/// Decides what this entry host believes of hosts, backend servers and other
/// data centres, and what it tells the others. Writes `hosts` and `servers` of
/// the blackboard. Has no I/O: events in, commands out.
///
/// Call Tick() every 100 ms or more often, and send what TakeCommands() gives
/// after each call.
class MembershipController {
 public:
  /// `self` is this host as it starts, with an incarnation above that of its
  /// last start. `blackboard` must outlive this object.
  MembershipController(MembershipSettings settings,
                       const HostEntry& self,
                       std::uint64_t random_seed,
                       Blackboard& blackboard);

  MembershipController(const MembershipController&) = delete;
  MembershipController& operator=(const MembershipController&) = delete;

  /// Takes an announcement that a backend server sent to this host. `version`
  /// grows with each announcement of one incarnation. Its state must be
  /// kServing or kLeaving.
  void OnAnnouncement(const BackendServerRecord& record,
                      std::uint64_t version,
                      TimePoint now);

  /// Takes a datagram, already authenticated. Errors: as DecodeGossip().
  Result<void> OnGossip(std::string_view bytes, TimePoint now);

  /// Works the timers.
  void Tick(TimePoint now);

  /// Sets the revision of the lists that this host serves on.
  void SetListsRevision(std::uint64_t revision);

  /// Sets what this data centre offers; delegates send it to the others.
  void SetModelSummaries(std::vector<ModelSummary> models);

  /// Says to everyone that this host takes no new work.
  void StartLeaving(TimePoint now);

  /// Returns the commands since the last call, in order.
  MembershipCommands TakeCommands() { return std::exchange(commands_, {}); }

  /// Returns the highest revision of the lists that any host has told of.
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

  /// Returns the latest summary of another data centre.
  [[nodiscard]] std::optional<DataCentreSummary> SummaryOf(
      const DataCentreId& id,
      TimePoint now) const {
    return remotes_.Find(id, now);
  }

 private:
  /// A ping that this host sent for another.
  struct PassedProbe {
    Endpoint asked_by;
    std::uint64_t sequence = 0;  ///< Of the host that asked.
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
  void SendRelay(const DueRelay& relay);
  void SendSummary(TimePoint now);
  /// Sends the servers of the groups in which `digest` differs.
  void SendDifferences(const Endpoint& to,
                       const ServerDigest& digest,
                       TimePoint now);
  /// Tells every host of the data centre what this host has found out.
  void Broadcast(TimePoint now);
  void BroadcastUnlessBusy(TimePoint now);
  /// Sends one message with the first of `hosts` and `servers` to all
  /// receivers and takes them off; returns false when the allowance is spent.
  bool BroadcastOne(std::span<const HostEntry> receivers,
                    std::span<const HostId>& hosts,
                    std::span<const BackendServerId>& servers,
                    TimePoint now);
  /// Fills the message with what the receiver may not know and sends it.
  void FillAndSend(GossipMessage message,
                   const Endpoint& to,
                   const HostId& to_id,
                   TimePoint now);
  void Send(const GossipMessage& message, const Endpoint& to);
  [[nodiscard]] std::optional<DataCentreSummary> OwnSummary() const;
  /// Returns `message` with what is known of data centre `id`, so that hosts
  /// there that don't know each other can meet.
  [[nodiscard]] GossipMessage WithSummaryOf(const DataCentreId& id,
                                            GossipMessage message,
                                            TimePoint now) const;
  /// Returns how often a piece of news goes out when `queued` wait.
  [[nodiscard]] std::size_t MaxSends(std::size_t queued) const;
  /// Takes `bytes` from the allowance for broadcasts, if it holds as many.
  bool Spend(double bytes);
  void Refill(TimePoint now);

  MembershipSettings settings_;
  RandomSource random_;
  MembershipCommands commands_;
  HostMembership hosts_;
  ServerMembership servers_;
  RemoteDataCentres remotes_;
  const HostTable& host_table_;
  std::vector<ModelSummary> models_;
  std::map<std::uint64_t, PassedProbe> passed_probes_;
  std::uint64_t next_passed_sequence_ = 1;
  std::uint64_t highest_lists_revision_ = 0;
  double allowance_bytes_ = 0;
  TimePoint refilled_;
  TimePoint next_summary_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_MEMBERSHIP_MEMBERSHIP_CONTROLLER_H_
