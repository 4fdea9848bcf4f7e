#ifndef BRIARLEAD_FORWARD_STREAM_ORIGINS_H_
#define BRIARLEAD_FORWARD_STREAM_ORIGINS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/time.h"
#include "briarlead_routes/route_list.h"
#include "briarlead_routes/server_directory.h"
#include "briarlead_routes/stream_origin.h"

namespace briarlead {

/// Returns the `n` hosts of `hosts` that keep the origin of `stream`, by
/// rendezvous hashing, the first one first. Fewer if there are fewer.
std::vector<Endpoint> HoldersOf(StreamId stream,
                                std::span<const Endpoint> hosts,
                                std::size_t n);

/// A report to the control host that receives frames at `host`.
struct OutgoingOriginReport {
  Endpoint host;
  StreamOriginReport report;
};

/// The versions at which the streams of this host began. While servers of
/// several versions serve, control hosts are told of them, so that a caller can
/// resume its stream at another host when this one is gone. While only one
/// version serves, nobody needs to be told. Takes events, does no I/O.
class StreamOrigins {
 public:
  /// Control hosts that keep the origin of each stream.
  static constexpr std::size_t kHolders = 2;
  /// Time after its end for which the origin of a stream that broke off is
  /// kept; its caller may resume it.
  static constexpr Duration kLife = std::chrono::seconds(30);
  /// Interval at which the origin of a stream in progress is told again.
  static constexpr Duration kRepeatInterval = std::chrono::seconds(10);

  /// `directory` must outlive the object.
  explicit StreamOrigins(const ServerDirectory& directory)
      : directory_(directory) {}

  /// Sets whether the directory is as new as that of the control hosts. If it
  /// may lack servers, a single version proves nothing.
  void SetCurrent(bool is_current) { is_current_ = is_current; }

  /// Records that a stream got its first event, or goes on, at `origin`.
  void OnBegun(StreamId stream, const ServiceVersion& origin, TimePoint now);
  /// Records that a stream ended; a complete one is never resumed.
  void OnEnded(StreamId stream, bool is_complete, TimePoint now);

  /// Returns the origin of a stream that this host knows.
  [[nodiscard]] std::optional<ServiceVersion> Find(StreamId stream) const;
  /// Returns the only version of `service` at which a stream of a route to
  /// `services` can have begun; nullopt if there may be several.
  [[nodiscard]] std::optional<SoftwareVersion> SoleVersion(
      std::span<const WeightedService> services,
      const ServiceId& service) const;

  /// Returns what the control hosts must be told now, out of those in `hosts`.
  /// What is returned counts as told.
  std::vector<OutgoingOriginReport> TakeReports(std::span<const Endpoint> hosts,
                                                TimePoint now);
  /// Records that a control host lost what it was told.
  void OnHolderRestarted();

 private:
  struct Stream {
    ServiceVersion origin;
    std::optional<TimePoint> told_at;
    std::optional<TimePoint> ended_at;
  };

  void Expire(TimePoint now);
  /// Returns the services of which several versions may have served lately.
  const std::set<ServiceId>& MixedServices();

  const ServerDirectory& directory_;
  /// The mixed services as of a revision of the directory, which is large.
  std::set<ServiceId> mixed_services_;
  std::optional<std::uint64_t> mixed_revision_;
  bool is_current_ = false;
  std::map<StreamId, Stream> streams_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_STREAM_ORIGINS_H_
