#ifndef BRIARLEAD_ROUTES_HOST_LOAD_H_
#define BRIARLEAD_ROUTES_HOST_LOAD_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_routes/host_report.h"

namespace briarlead {

/// A stream that an engine produces, or for which its memory is reserved.
struct StreamLoad {
  BackendServerId engine;
  std::uint32_t tokens_held = 0;       ///< Currently in the engine's memory.
  std::uint32_t tokens_remaining = 0;  ///< Expected until the stream ends.
  std::uint64_t key = 0;  ///< The request on its host; zero if unknown.

  friend bool operator==(const StreamLoad&, const StreamLoad&) = default;
};

/// A prompt that a prefill engine processes for a decode engine.
struct PrefillLoad {
  BackendServerId engine;
  std::uint32_t tokens = 0;
  std::uint64_t key = 0;  ///< The request on its host; zero if unknown.

  friend bool operator==(const PrefillLoad&, const PrefillLoad&) = default;
};

/// A request that waits for an engine.
struct WaitingLoad {
  ServiceId service;
  std::uint32_t rank = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  /// Time left until its target latency ends; negative once that has passed.
  Duration target_left = Duration::zero();
  std::uint64_t key = 0;  ///< The request on its host; zero if unknown.
  /// Version of the engine that began its stream; nullopt if none has.
  std::optional<SoftwareVersion> software;

  friend bool operator==(const WaitingLoad&, const WaitingLoad&) = default;
};

/// The load of one entry host on the engines, its waiting requests and its
/// observations. Entry hosts send it at each change to the hosts that place
/// requests, so that those decide on the same data.
struct HostLoad {
  /// Maximum number of entries of each kind in one message.
  static constexpr std::size_t kMaxStreams = 200;
  static constexpr std::size_t kMaxWaiting = 100;

  std::uint64_t number = 0;  ///< Increases with each message of a host.
  std::vector<StreamLoad> streams;
  std::vector<PrefillLoad> prefills;
  std::vector<WaitingLoad> waiting;
  HostReport report;

  friend bool operator==(const HostLoad&, const HostLoad&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_HOST_LOAD_H_
