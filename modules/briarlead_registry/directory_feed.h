#ifndef BRIARLEAD_REGISTRY_DIRECTORY_FEED_H_
#define BRIARLEAD_REGISTRY_DIRECTORY_FEED_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/time.h"
#include "briarlead_registry/bytes_in_flight.h"
#include "briarlead_routes/briarlead_routes.h"

namespace briarlead {

/// Answers the requests of hosts for the directory of a control host: decides
/// who gets what now, and encodes equal answers once.
class DirectoryFeed {
 public:
  /// Largest number of changes for a host that follows another control host. A
  /// host that lacks more than that gets them from the one it follows.
  static constexpr std::size_t kMaxStandbyChanges = 64;
  /// Time for which an encoded answer is used again. Ages in it are wrong by as
  /// much.
  static constexpr Duration kReuseTime = std::chrono::milliseconds(400);
  /// Size of all encoded answers that are kept, in bytes.
  static constexpr std::size_t kMaxKeptBytes = 4UL * 1024 * 1024;
  /// Assumed size of a server in a message, in bytes.
  static constexpr std::size_t kServerBytes = 160;

  /// `directory` must outlive the object. `incarnation` identifies this
  /// process.
  DirectoryFeed(const ServerDirectory& directory, std::uint64_t incarnation)
      : directory_(directory), incarnation_(incarnation) {}

  /// Returns the encoded messages that answer `request` of `host`; at least
  /// one. `hosts_digest` is that of the entry hosts known here.
  std::vector<std::string> Answer(const Endpoint& host,
                                  const DirectoryRequest& request,
                                  std::uint64_t hosts_digest,
                                  TimePoint now);

  /// Returns the whole directory as earlier builds ask for it; nothing if it
  /// can't be sent to `host` now.
  std::optional<std::vector<AnnouncedServer>> AnswerDigest(const Endpoint& host,
                                                           TimePoint now);
  /// Records that `host`, of an earlier build, has the same directory.
  void OnSameDigest(const Endpoint& host) { in_flight_.OnLost(host); }

  /// Records that what was on its way to `host` may be lost.
  void OnLinkFailure(const Endpoint& host) { in_flight_.OnLost(host); }

  /// Returns the bytes of encoded answers that are kept or on their way.
  [[nodiscard]] std::size_t HeldBytes() const;

 private:
  /// Position, and whether all silent servers are included.
  using Key = std::pair<std::uint64_t, bool>;
  struct Kept {
    std::vector<std::string> messages;
    std::uint64_t to = 0;
    TimePoint encoded_at;
  };

  [[nodiscard]] bool KnowsRevision(const DirectoryRequest& request) const;
  /// Returns an update without servers that confirms nothing.
  [[nodiscard]] DirectoryUpdate Nothing(std::uint64_t hosts_digest) const;
  /// Returns an update without servers that takes a host up to now.
  [[nodiscard]] DirectoryUpdate UpToNow(std::uint64_t from,
                                        std::uint64_t hosts_digest,
                                        TimePoint now) const;
  [[nodiscard]] DirectoryUpdate Same(const DirectoryRequest& request,
                                     std::uint64_t hosts_digest,
                                     TimePoint now) const;
  const Kept& Changes(const DirectoryRequest& request,
                      std::uint64_t hosts_digest,
                      TimePoint now);
  const Kept& Whole(const DataCentreId& data_centre,
                    std::uint64_t hosts_digest,
                    TimePoint now);
  /// Returns `messages` if they may be sent now, else an empty update.
  std::vector<std::string> Send(const Endpoint& host,
                                const Kept& kept,
                                std::uint64_t hosts_digest,
                                TimePoint now);
  /// Removes what may not be used again.
  void Prune(TimePoint now);

  const ServerDirectory& directory_;
  std::uint64_t incarnation_;
  BytesInFlight in_flight_;
  std::map<Key, Kept> changes_;
  std::map<DataCentreId, Kept> whole_;
  std::uint64_t pruned_at_position_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_REGISTRY_DIRECTORY_FEED_H_
