#ifndef BRIARLEAD_REGISTRY_DIRECTORY_PUSH_H_
#define BRIARLEAD_REGISTRY_DIRECTORY_PUSH_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_routes/briarlead_routes.h"

namespace briarlead {

/// Collects what this control host heard from servers themselves, to be sent
/// unasked: changes, to all hosts at once; and the names of servers that were
/// heard, to the control hosts from time to time. What exceeds the rate of
/// changes reaches the entry hosts with the answers to their next requests.
class DirectoryPush {
 public:
  /// Bytes per second, and at once, of changes to all entry hosts together.
  static constexpr double kBytesPerSecond = 4.0 * 1024 * 1024;
  static constexpr double kBurstBytes = 4.0 * 1024 * 1024;
  /// Assumed size of a server in a message, for the rate.
  static constexpr std::size_t kServerBytes = 160;
  /// Interval at which control hosts are told which servers were heard.
  static constexpr Duration kHeardInterval = std::chrono::seconds(2);

  /// `directory` must outlive the object.
  explicit DirectoryPush(const ServerDirectory& directory)
      : directory_(directory) {}

  /// Records an announcement of `id` to this control host.
  void OnAnnounced(const BackendServerId& id, bool changed);

  /// Time between two rounds of changes for each entry host. Encoding and
  /// sending them to hundreds of hosts for each server alone would take a
  /// control host's processor while all servers start.
  static constexpr Duration kIntervalPerHost = std::chrono::microseconds(200);
  /// Returns how long to wait before changes are sent to so many hosts.
  [[nodiscard]] Duration DelayFor(std::size_t entry_host_count,
                                  TimePoint now) const;

  [[nodiscard]] bool has_changes() const { return !changed_.empty(); }

  struct Changes {
    std::vector<AnnouncedServer> all;  ///< For the control hosts.
    /// How many of them, from the front, may be sent to the entry hosts.
    std::size_t for_entry_hosts = 0;
  };
  /// Returns the changes since the last call, leaving servers first.
  Changes TakeChanges(std::size_t entry_host_count, TimePoint now);

  /// Returns the update for the control hosts that names the servers heard
  /// since the last one, if it is due.
  std::optional<DirectoryUpdate> TakeHeard(TimePoint now);

 private:
  const ServerDirectory& directory_;
  std::set<BackendServerId> changed_;
  std::set<BackendServerId> heard_;
  TimePoint heard_since_;
  double tokens_ = kBurstBytes;
  TimePoint last_taken_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_REGISTRY_DIRECTORY_PUSH_H_
