#ifndef BRIARLEAD_ROUTES_SERVER_DIRECTORY_H_
#define BRIARLEAD_ROUTES_SERVER_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <vector>

#include "briarlead_core/time.h"
#include "briarlead_routes/server_record.h"

namespace briarlead {

/// The backend servers that have announced themselves. Announcements may come
/// late, twice and from earlier starts: each server's newest start wins, in it
/// the highest sequence, and a server that leaves never comes back.
class ServerDirectory {
 public:
  /// A record that isn't announced again is forgotten after this time.
  static constexpr Duration kRecordLife = std::chrono::seconds(60);

  struct Entry {
    ServerRecord record;
    TimePoint last_heard;  ///< When the newest announcement came in.
  };

  /// Takes a record; returns whether something but its sequence changed.
  bool Merge(const ServerRecord& record, TimePoint now);

  /// Notes that the server `id` has said that it ends. `born_ms` of 0 stands
  /// for its newest start. Returns the record if something changed.
  bool MarkGone(const BackendServerId& id,
                std::uint64_t born_ms,
                TimePoint now);

  /// Forgets records that are old.
  void Expire(TimePoint now);

  [[nodiscard]] const Entry* Find(const BackendServerId& id) const;
  [[nodiscard]] const std::map<BackendServerId, Entry>& entries() const {
    return entries_;
  }
  /// Grows with each change but of sequences.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  /// Returns a number over all records but their sequences; equal on two hosts
  /// that know the same.
  [[nodiscard]] std::uint64_t Digest() const;
  [[nodiscard]] std::vector<ServerRecord> Records() const;

 private:
  /// Ends the servers that had the address of `record` before it.
  void RetirePreviousServers(const ServerRecord& record);

  std::map<BackendServerId, Entry> entries_;
  std::uint64_t revision_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_SERVER_DIRECTORY_H_
