#ifndef BRIARLEAD_ROUTES_SERVER_DIRECTORY_H_
#define BRIARLEAD_ROUTES_SERVER_DIRECTORY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "briarlead_core/time.h"
#include "briarlead_routes/server_record.h"
#include "briarlead_routes/stream_origin.h"

namespace briarlead {

/// The backend servers that have announced themselves. Announcements may be
/// delayed, duplicated or from earlier incarnations of a server. The newest
/// incarnation wins, and within it the highest sequence. An incarnation that is
/// leaving never becomes ready again.
class ServerDirectory {
 public:
  /// Time after the last announcement at which a record is removed.
  static constexpr Duration kRecordLife = std::chrono::seconds(60);

  /// Age of the newest announcement from which a control host counts a server
  /// as silent. Control hosts tell each other of announcements only every few
  /// seconds, so this is longer than AnnouncedServer::kRecentAge.
  static constexpr Duration kSilentAge = std::chrono::seconds(10);

  struct Entry {
    ServerRecord record;
    TimePoint last_heard;    ///< When the newest announcement came in.
    std::uint64_t hash = 0;  ///< The part of the record in the digest.
    /// Position in the log of the last change of the record or of `silent`.
    std::uint64_t position = 0;
    /// Position in the log of the last change of `silent`.
    std::uint64_t silence_position = 0;
    bool silent = false;  ///< As of the last call of UpdateSilence().
    /// Unix time up to which all its starts have left, as MarkLeftBy() was
    /// told; zero if it wasn't.
    std::uint64_t left_by_ms = 0;
  };

  struct FormerEntry {
    TimePoint last_heard;
    std::uint64_t position = 0;  ///< Of its last change in the log.
  };

  /// Merges an announced record; returns whether anything but the sequence
  /// changed.
  bool Merge(const ServerRecord& record, TimePoint now);

  /// Marks the server `id` as gone after its start `born_ms` deregistered.
  /// Returns whether anything changed.
  bool MarkGone(const BackendServerId& id,
                std::uint64_t born_ms,
                TimePoint now);

  /// Marks the server `id` as gone after it deregistered without naming its
  /// start: each start up to the Unix time `left_by_ms`, also those that are
  /// announced later. Returns whether the record changed.
  bool MarkLeftBy(const BackendServerId& id,
                  std::uint64_t left_by_ms,
                  TimePoint now);

  /// Records that all servers but those in `except` were heard of at `heard` or
  /// later, as another host with the same records reports.
  void OnOthersHeard(const std::set<BackendServerId>& except, TimePoint heard);

  /// Records that `id` was heard of at `heard` or later.
  void OnHeard(const BackendServerId& id, TimePoint heard);

  /// Notes in the log which servers became silent or were heard again.
  void UpdateSilence(TimePoint now);

  /// Records that another host heard of servers of `version` at `heard` or
  /// later; none of them may have it now.
  void OnFormerVersion(const ServiceVersion& version, TimePoint heard);

  /// Returns the versions of `service` that any server may have had within
  /// kRecordLife: of all servers, those that are gone included, and those that
  /// servers had before they started again.
  [[nodiscard]] std::vector<SoftwareVersion> VersionsOf(
      const ServiceId& service) const;
  /// Returns the services of which several versions may have served within
  /// kRecordLife.
  [[nodiscard]] std::set<ServiceId> MixedServices() const;
  /// Returns the versions that servers had before they started again, and when
  /// they were last heard of.
  [[nodiscard]] const std::map<ServiceVersion, FormerEntry>& former_versions()
      const {
    return former_versions_;
  }

  /// Removes the records that were not announced for kRecordLife.
  void Expire(TimePoint now);

  [[nodiscard]] const Entry* Find(const BackendServerId& id) const;
  [[nodiscard]] const std::map<BackendServerId, Entry>& entries() const {
    return entries_;
  }
  /// Increases with each change except those of sequences.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  /// Returns a hash of all records without their sequences. Two hosts with the
  /// same records have the same digest.
  [[nodiscard]] std::uint64_t Digest() const { return digest_; }
  [[nodiscard]] std::vector<ServerRecord> Records() const;

  /// Returns the position of the latest change in the log. The log names each
  /// server once, at its last change, so it is as long as the directory.
  [[nodiscard]] std::uint64_t log_position() const { return log_position_; }
  /// Returns the servers that changed after `position`, oldest change first.
  [[nodiscard]] std::vector<const Entry*> ChangedSince(
      std::uint64_t position) const;
  [[nodiscard]] std::size_t CountChangedSince(std::uint64_t position,
                                              std::size_t max) const;

 private:
  /// Updates the digest and the log after a change of the record.
  void OnRecordChanged(Entry& entry);
  /// Moves `entry` to the end of the log.
  void Append(Entry& entry);
  /// Returns whether the state changed.
  bool SetState(Entry& entry, ServerState state);
  /// Removes the server of `record` from those that have its address.
  void RemoveAddress(const ServerRecord& record);
  /// Of all servers with the address of `record`, itself included, marks those
  /// as gone that started earlier than another one.
  void RetirePreviousServers(const ServerRecord& record);

  std::map<BackendServerId, Entry> entries_;
  /// The servers that announced each address.
  std::map<Endpoint, std::set<BackendServerId>> by_address_;
  std::map<ServiceVersion, FormerEntry> former_versions_;
  std::uint64_t revision_ = 0;
  std::uint64_t digest_ = 0;
  /// Never zero, which stands for no position.
  std::uint64_t log_position_ = 1;
  std::map<std::uint64_t, BackendServerId> log_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_SERVER_DIRECTORY_H_
