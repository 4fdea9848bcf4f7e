#ifndef BRIARLEAD_ENTRY_HOST_BEACON_H_
#define BRIARLEAD_ENTRY_HOST_BEACON_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "briarlead_blackboard/blackboard.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_net/frame_codec.h"

namespace briarlead {

/// Returns the host that owns the shard of `model` in `data_centre`.
std::optional<HostId> OwnerOf(const DataCentreId& data_centre,
                              const ModelId& model,
                              const HostTable& hosts);

/// A host that died or came back under a later incarnation.
struct DeadHost {
  HostId host;
  std::uint64_t incarnation = 0;
};

/// Keeps the blackboard's hosts and the silence of its servers.
class HostBeacon {
 public:
  static constexpr Duration kSuspectAfter = std::chrono::milliseconds(1500);
  static constexpr Duration kDeadAfter = std::chrono::seconds(4);
  static constexpr Duration kServerSilentAfter = std::chrono::seconds(2);

  explicit HostBeacon(Blackboard& blackboard) : blackboard_(blackboard) {}

  /// Takes a beacon. Returns true when the hosts changed.
  bool OnBeacon(const PeerName& sender,
                std::string_view payload,
                TimePoint now);

  /// Returns true when hosts or servers changed.
  bool Tick(const HostId& self, TimePoint now);

  std::vector<DeadHost> TakeDead();

 private:
  Blackboard& blackboard_;
  std::vector<DeadHost> dead_;
};

std::string EncodeBeacon(const HostRecord& self);

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_HOST_BEACON_H_
