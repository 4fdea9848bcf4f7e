#ifndef BRIARLEAD_MEMBERSHIP_REMOTE_DATA_CENTRES_H_
#define BRIARLEAD_MEMBERSHIP_REMOTE_DATA_CENTRES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "briarlead_blackboard/host_table.h"
#include "briarlead_core/random_source.h"
#include "briarlead_core/time.h"
#include "briarlead_membership/gossip_message.h"
#include "briarlead_membership/membership_command.h"
#include "briarlead_membership/membership_settings.h"

namespace briarlead {

/// The peer endpoint of a host in another data centre.
struct RemoteContact {
  DataCentreId data_centre;
  Endpoint endpoint;
};

/// What this host knows of the other data centres: their summaries, and their
/// delegates, which are published as hosts on the blackboard. The delegates of
/// a data centre become suspect, then dead, as its latest summary ages.
class RemoteDataCentres {
 public:
  /// The referenced objects must outlive this one.
  RemoteDataCentres(const MembershipSettings& settings,
                    const DataCentreId& own,
                    HostTable& hosts,
                    MembershipCommands& commands);

  /// Merges a summary that the described data centre sent or any other host
  /// forwarded.
  void Merge(const DataCentreSummary& summary, TimePoint now);

  /// Handles the arrival of a message from a host of another data centre.
  void OnMessageFrom(const HostEntry& sender, TimePoint now);

  /// Marks the delegates of data centres whose summary is too old.
  void Tick(TimePoint now);

  /// Returns one host of each known data centre, chosen at random among its
  /// known endpoints.
  [[nodiscard]] std::vector<RemoteContact> Contacts(RandomSource& random) const;

  /// Returns at most `count` summaries to forward with one message: those sent
  /// least often since they changed, and among these the least recently sent.
  std::vector<DataCentreSummary> NextSummaries(std::size_t count,
                                               TimePoint now);

  /// Returns the latest summary of `id` with its current age; nullopt when
  /// there is none.
  [[nodiscard]] std::optional<DataCentreSummary> Find(const DataCentreId& id,
                                                      TimePoint now) const;

 private:
  struct Remote {
    DataCentreSummary summary;  ///< Empty until the first one arrives.
    TimePoint created_at;
    std::vector<Endpoint> contacts;
    HostState state = HostState::kAlive;
    std::uint32_t sends = 0;  ///< Since the summary changed.
    TimePoint last_sent;
  };

  void SetState(Remote& remote, HostState state);
  void Publish(const Delegate& delegate, const Remote& remote);

  const MembershipSettings& settings_;
  DataCentreId own_;
  HostTable& hosts_;
  MembershipCommands& commands_;
  std::map<DataCentreId, Remote> remotes_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_MEMBERSHIP_REMOTE_DATA_CENTRES_H_
