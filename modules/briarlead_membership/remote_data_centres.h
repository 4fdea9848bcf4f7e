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

/// A host of another data centre to send to.
struct RemoteContact {
  DataCentreId data_centre;
  Endpoint peers;
};

/// What is known of the other data centres: their summaries, and their
/// delegates as hosts on the blackboard. A delegate is suspect, then dead, when
/// its data centre has sent no news for long.
class RemoteDataCentres {
 public:
  /// The referenced objects must outlive this one.
  RemoteDataCentres(const MembershipSettings& settings,
                    const DataCentreId& own,
                    HostTable& hosts,
                    MembershipCommands& commands);

  /// Takes a summary, from its data centre or passed on by a host of ours.
  void Merge(const DataCentreSummary& summary, TimePoint now);

  /// Takes that a host of another data centre has sent a message.
  void OnMessageFrom(const HostEntry& sender, TimePoint now);

  /// Works the timers.
  void Tick(TimePoint now);

  /// Returns one host of each known data centre.
  [[nodiscard]] std::vector<RemoteContact> Contacts(RandomSource& random) const;

  /// Returns summaries to pass on with one message, at most `count`: those
  /// that went out least often since they changed, then least lately.
  std::vector<DataCentreSummary> NextSummaries(std::size_t count,
                                               TimePoint now);

  /// Returns the summary of `id` with its present age, or null when there is
  /// none.
  [[nodiscard]] std::optional<DataCentreSummary> Find(const DataCentreId& id,
                                                      TimePoint now) const;

 private:
  struct Remote {
    DataCentreSummary summary;  ///< Empty until the first one has come.
    TimePoint drawn_up;
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
