#ifndef BRIARLEAD_ROUTES_STREAM_ORIGIN_H_
#define BRIARLEAD_ROUTES_STREAM_ORIGIN_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "briarlead_core/identifiers.h"

namespace briarlead {

/// A version of the software of a service's servers.
struct ServiceVersion {
  ServiceId service;
  SoftwareVersion software;

  friend auto operator<=>(const ServiceVersion&,
                          const ServiceVersion&) = default;
};

/// Identifies a stream over all attempts of its caller: a hash of the id of the
/// attempt that brought the first event.
struct StreamId {
  std::uint64_t value = 0;

  friend auto operator<=>(const StreamId&, const StreamId&) = default;
};

/// Returns the id of the stream whose first event came with the attempt
/// `attempt_id`.
StreamId StreamIdOf(std::string_view attempt_id);

/// Tells a control host at which versions streams have begun.
struct StreamOriginReport {
  /// The streams that began at one version.
  struct Group {
    ServiceVersion origin;
    std::vector<StreamId> streams;

    friend bool operator==(const Group&, const Group&) = default;
  };

  /// Maximum number of streams in one message.
  static constexpr std::size_t kMaxStreams = 8192;

  std::vector<Group> groups;

  friend bool operator==(const StreamOriginReport&,
                         const StreamOriginReport&) = default;
};

/// Asks a control host at which version a stream began.
struct StreamOriginQuery {
  StreamId stream;

  friend bool operator==(const StreamOriginQuery&,
                         const StreamOriginQuery&) = default;
};

/// The response to a StreamOriginQuery.
struct StreamOriginReply {
  StreamId stream;
  std::optional<ServiceVersion> origin;  ///< Nullopt if the host wasn't told.

  friend bool operator==(const StreamOriginReply&,
                         const StreamOriginReply&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_STREAM_ORIGIN_H_
