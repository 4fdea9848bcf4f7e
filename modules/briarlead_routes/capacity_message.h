#ifndef BRIARLEAD_ROUTES_CAPACITY_MESSAGE_H_
#define BRIARLEAD_ROUTES_CAPACITY_MESSAGE_H_

#include <cstddef>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_routes/server_record.h"

namespace briarlead {

/// What the sender found out about the speeds of engines.
struct EngineSpeedReport {
  static constexpr std::size_t kMaxEngines = 20;

  struct Entry {
    ServerIncarnation engine;
    double prefill_tokens_per_second = 0;  ///< Zero if not observed.
    double decode_tokens_per_second = 0;   ///< Of one stream; zero: as above.

    friend bool operator==(const Entry&, const Entry&) = default;
  };

  std::vector<Entry> engines;

  friend bool operator==(const EngineSpeedReport&,
                         const EngineSpeedReport&) = default;
};

/// How much work the sender can do, relative to a host of weight 1.
struct HostCapacityReport {
  double weight = 1;

  friend bool operator==(const HostCapacityReport&,
                         const HostCapacityReport&) = default;
};

/// The weights of all entry hosts that reported one other than 1.
struct HostCapacities {
  struct Entry {
    Endpoint peers;  ///< Where the host receives frames.
    double weight = 1;

    friend bool operator==(const Entry&, const Entry&) = default;
  };

  std::vector<Entry> hosts;

  friend bool operator==(const HostCapacities&,
                         const HostCapacities&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_CAPACITY_MESSAGE_H_
