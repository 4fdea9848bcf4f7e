#ifndef BRIARLEAD_FORWARD_SERVER_LIMITS_H_
#define BRIARLEAD_FORWARD_SERVER_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "briarlead_core/time.h"
#include "briarlead_routes/server_directory.h"
#include "briarlead_routes/server_limit_message.h"

namespace briarlead {

/// A change of what this host knows of a server's limit, for logs.
struct ServerLimitEvent {
  ServerIncarnation server;
  double per_second = kNoRateLimit;
  double before = kNoRateLimit;
  bool read_here = false;  ///< False if another host told.
};

/// The rate limits that backend servers name in their answers, as this host
/// read them or others told. The newest answer holds. A limit ends with the
/// first answer without one to a request that was sent after the limit was last
/// read, or with the server's incarnation; time alone doesn't end it, since
/// nothing is heard from a server that gets nothing.
class ServerLimits {
 public:
  /// Maximum number of servers that are remembered.
  static constexpr std::size_t kMaxServers = 512;
  /// Time for which the end of a limit is remembered, so that older notices of
  /// other hosts don't revive it.
  static constexpr Duration kEndMemory = std::chrono::seconds(30);
  /// Change of a limit that others need to know at once, as a share of it.
  static constexpr double kNewsShare = 0.1;

  /// Records what the answer to a request sent at `sent_at` tells.
  void OnAnswer(const ServerIncarnation& server,
                double per_second,
                TimePoint sent_at,
                TimePoint now);

  /// Takes over what another host knows; returns whether it is news.
  bool OnNotice(const ServerLimitNotice& notice, TimePoint now);

  /// Returns the requests per second that `server` takes from all hosts.
  [[nodiscard]] double LimitOf(const ServerIncarnation& server) const;
  [[nodiscard]] bool IsLimited(const ServerIncarnation& server) const {
    return LimitOf(server) != kNoRateLimit;
  }
  [[nodiscard]] std::size_t LimitedCount() const;
  [[nodiscard]] bool IsAnyLimited() const {
    return !entries_.empty() && LimitedCount() > 0;
  }

  /// Returns what this host knows of `server`.
  [[nodiscard]] ServerLimitNotice NoticeOf(const ServerIncarnation& server,
                                           TimePoint now) const;
  /// Returns the limits, and recent ends of limits, that this host read itself
  /// and of which no other has told anything newer.
  [[nodiscard]] std::vector<ServerLimitNotice> OwnNotices(TimePoint now) const;
  /// Returns all limits that hold.
  [[nodiscard]] std::vector<ServerLimitNotice> Limits(TimePoint now) const;
  /// Increases with what this host read itself and others need to know at once.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

  /// Forgets servers that `directory` no longer has.
  void Expire(const ServerDirectory& directory, TimePoint now);
  /// Removes and returns the events to log.
  std::vector<ServerLimitEvent> TakeEvents();

 private:
  struct Entry {
    double per_second = kNoRateLimit;
    TimePoint read_at;  ///< When a host read it, by the age that it told.
    bool read_here = false;
  };

  /// Returns whether the change is news.
  bool Set(const ServerIncarnation& server, const Entry& entry);

  std::map<ServerIncarnation, Entry> entries_;
  std::vector<ServerLimitEvent> events_;
  std::uint64_t revision_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_SERVER_LIMITS_H_
