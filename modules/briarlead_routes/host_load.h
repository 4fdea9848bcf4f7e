#ifndef BRIARLEAD_ROUTES_HOST_LOAD_H_
#define BRIARLEAD_ROUTES_HOST_LOAD_H_

#include <cstdint>
#include <vector>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_routes/host_report.h"

namespace briarlead {

/// One stream that an engine produces, or for which memory is kept there.
struct StreamLoad {
  BackendServerId engine;
  std::uint32_t tokens_held = 0;     ///< In the engine's memory now.
  std::uint32_t tokens_to_come = 0;  ///< Expected until its end.

  friend bool operator==(const StreamLoad&, const StreamLoad&) = default;
};

/// One prompt that an engine reads for another.
struct PrefillLoad {
  BackendServerId engine;
  std::uint32_t tokens = 0;

  friend bool operator==(const PrefillLoad&, const PrefillLoad&) = default;
};

/// One request that waits for an engine.
struct WaitingLoad {
  ServiceId service;
  std::uint32_t rank = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  /// Until its target latency; below zero when that has passed.
  Duration target_left = Duration::zero();

  friend bool operator==(const WaitingLoad&, const WaitingLoad&) = default;
};

/// What one entry host has on the engines, has waiting and has found out. Entry
/// hosts tell each other at each change, so that all decide on the same facts.
struct HostLoad {
  /// Entries of one kind that are told.
  static constexpr std::size_t kMaxStreams = 200;
  static constexpr std::size_t kMaxWaiting = 100;

  std::uint64_t number = 0;  ///< Grows with each message of a host.
  std::vector<StreamLoad> streams;
  std::vector<PrefillLoad> prefills;
  std::vector<WaitingLoad> waiting;
  HostReport report;

  friend bool operator==(const HostLoad&, const HostLoad&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_HOST_LOAD_H_
