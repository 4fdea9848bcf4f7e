#ifndef BRIARLEAD_REGISTRY_DIRECTORY_PERSISTENCE_H_
#define BRIARLEAD_REGISTRY_DIRECTORY_PERSISTENCE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_routes/briarlead_routes.h"
#include "briarlead_wire/http_listener.h"

namespace briarlead {

/// The voters of the control group, and on how many of their disks a record
/// must be so that no loss that the group survives takes it away.
struct DiskQuorum {
  std::set<HostId> voters;
  std::size_t needed = 1;

  /// Returns a majority of `voters`, of at least `min_voters`.
  static DiskQuorum MajorityOf(std::set<HostId> voters, std::size_t min_voters);

  friend bool operator==(const DiskQuorum&, const DiskQuorum&) = default;
};

/// Save the directory, then call OnSaved().
struct SaveDirectory {};
/// Send `request` to the control process of `host`.
struct SendPersistRequest {
  HostId host;
  PersistLeavingRequest request;
};
/// Send `reply` to the process at `peer`.
struct SendPersistReply {
  Endpoint peer;
  PersistLeavingReply reply;
};
/// Answer a server that leaves.
struct AnswerLeaving {
  CallerRequestId call;
  ServerRecord server;
  bool confirmed = false;
  std::size_t saved_on = 0;  ///< Voters that have it on disk.
};
using PersistenceCommand = std::
    variant<SaveDirectory, SendPersistRequest, SendPersistReply, AnswerLeaving>;

/// Decides when a control host saves its directory, and when it confirms to a
/// server that it leaves: once a majority of the group's voters has that on
/// disk. A server that was told so may say nothing more, so the files must
/// outlast a simultaneous end of all processes and the loss of some disks.
class DirectoryPersistence {
 public:
  /// Minimum time between two saves that nobody waits for.
  static constexpr Duration kSaveInterval = std::chrono::milliseconds(1000);
  /// Minimum time from a failed save to the next one that nobody waits for.
  static constexpr Duration kSaveRetryInterval = std::chrono::seconds(5);
  /// Minimum time between two saves that a leaving server waits for.
  static constexpr Duration kUrgentSaveInterval = std::chrono::milliseconds(50);
  /// Time between two requests for the same server to a voter.
  static constexpr Duration kRepeatInterval = std::chrono::milliseconds(200);
  /// Time after which a call is answered without a confirmation. A server asks
  /// another control host if it has no answer within a second.
  static constexpr Duration kConfirmTimeout = std::chrono::milliseconds(800);

  /// `directory` must outlive the object. `self` is this host.
  DirectoryPersistence(ServerDirectory& directory, HostId self)
      : directory_(directory), self_(std::move(self)) {}

  /// The directory holds exactly what is on this host's disk.
  void OnLoaded() { saved_revision_ = directory_.revision(); }

  void SetQuorum(DiskQuorum quorum) { quorum_ = std::move(quorum); }

  /// `call` is to be answered once the record of `id`, as the directory has it
  /// now, is on enough disks. A server that the directory doesn't have isn't
  /// confirmed.
  void ConfirmLeaving(const CallerRequestId& call,
                      const BackendServerId& id,
                      TimePoint now);

  /// Merges the servers of a peer's request; the reply follows once they are
  /// saved. Returns the servers of which this host knew a later start than the
  /// peer that has left, too: the peer and all others must be told.
  std::vector<BackendServerId> OnRequest(const Endpoint& peer,
                                         const PersistLeavingRequest& request,
                                         TimePoint now);
  void OnReply(const HostId& host, const PersistLeavingReply& reply);

  /// The directory as of `revision` was saved, or couldn't be.
  void OnSaved(bool saved, std::uint64_t revision, TimePoint now);

  /// Adds the commands that are due. Must also be called after the other
  /// events, once for all events of one step of the main loop.
  void Tick(TimePoint now);

  std::vector<PersistenceCommand> TakeCommands() {
    return std::exchange(commands_, {});
  }

 private:
  /// A call that waits for its answer.
  struct PendingCall {
    CallerRequestId call;
    LeavingServer server;
    TimePoint deadline;
    TimePoint next_request;
    std::set<HostId> saved_on;
  };

  [[nodiscard]] bool IsSaved() const {
    return saved_revision_ == directory_.revision();
  }
  [[nodiscard]] bool IsSaveDue(TimePoint now) const;
  /// Returns how many voters have the server of `pending` on disk.
  [[nodiscard]] std::size_t CountSaved(const PendingCall& pending) const;
  void SendDueRequests(TimePoint now);
  /// Answers the calls that have enough copies or have waited too long.
  void AnswerCalls(TimePoint now);
  void SendReplies();

  ServerDirectory& directory_;
  HostId self_;
  DiskQuorum quorum_;
  std::vector<PendingCall> calls_;
  /// Servers that peers asked to save, and that are not saved yet.
  std::map<Endpoint, std::set<BackendServerId>> unanswered_;
  std::uint64_t saved_revision_ = 0;
  bool save_pending_ = false;  ///< A SaveDirectory has no outcome yet.
  TimePoint next_save_;
  TimePoint next_urgent_save_;
  std::vector<PersistenceCommand> commands_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_REGISTRY_DIRECTORY_PERSISTENCE_H_
