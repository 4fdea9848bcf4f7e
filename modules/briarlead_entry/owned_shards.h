#ifndef BRIARLEAD_ENTRY_OWNED_SHARDS_H_
#define BRIARLEAD_ENTRY_OWNED_SHARDS_H_

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "briarlead_blackboard/blackboard.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_dispatch/dispatch_messages.h"
#include "briarlead_dispatch/dispatcher.h"

namespace briarlead {

/// The pool shards that this host owns, with one dispatcher each. Passes events
/// to the dispatchers and collects their commands. Does no I/O.
class OwnedShards {
 public:
  /// `blackboard` must outlive this object.
  OwnedShards(DataCentreId data_centre,
              const Blackboard& blackboard,
              const DispatcherOptions& options);

  /// Starts or ends the ownership of the shard of `model`.
  void SetOwned(const ModelId& model, bool owned, TimePoint now);

  /// Handles a message from an entry host. A request for a shard that is not
  /// owned here is dropped; its entry host registers it with the new owner.
  void OnMessage(const DispatchMessage& message, TimePoint now);

  /// Every process of `host` up to `incarnation` is dead: releases what its
  /// requests hold.
  void OnHostDead(const HostId& host, std::uint64_t incarnation, TimePoint now);

  /// Handles the list of requests that an engine of `model` reports as held.
  void OnEngineReport(const ModelId& model,
                      const BackendServerId& server,
                      std::span<const HeldAttempt> held,
                      TimePoint now);

  /// Must be called after a change of the blackboard's backend servers.
  void OnServersChanged(TimePoint now);

  /// Runs what is due in each shard.
  void Tick(TimePoint now);

  /// Returns when Tick() must next be called; nullopt when nothing is due.
  [[nodiscard]] std::optional<TimePoint> NextWake() const;

  /// Returns the commands since the last call, grouped by shard and in order
  /// within each.
  std::vector<DispatchCommand> TakeCommands();

  /// Returns a summary of each owned shard.
  [[nodiscard]] std::vector<ShardSummary> Summaries(TimePoint now) const;

 private:
  DataCentreId data_centre_;
  const Blackboard& blackboard_;
  DispatcherOptions options_;
  std::map<ModelId, std::unique_ptr<Dispatcher>> shards_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_OWNED_SHARDS_H_
