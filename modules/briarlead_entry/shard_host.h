#ifndef BRIARLEAD_ENTRY_SHARD_HOST_H_
#define BRIARLEAD_ENTRY_SHARD_HOST_H_

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

/// The pool shards that this host owns, one dispatcher each. Passes events to
/// them and gathers their commands. Does no I/O.
class ShardHost {
 public:
  /// `blackboard` must outlive this object.
  ShardHost(DataCentreId data_centre,
            const Blackboard& blackboard,
            const DispatcherOptions& options);

  /// Begins or ends to own the shard of `model`.
  void SetOwned(const ModelId& model, bool owned, TimePoint now);

  /// Handles a message of an entry host. A request for a shard that is not
  /// owned here is dropped: its entry host registers it with the new owner.
  void OnMessage(const DispatchMessage& message, TimePoint now);

  /// An entry host died: what its requests hold is released.
  void OnHostDead(const HostId& host, std::uint64_t incarnation, TimePoint now);

  /// An engine of `model` reported what it holds.
  void OnEngineReport(const ModelId& model,
                      const BackendServerId& server,
                      std::span<const HeldAttempt> held,
                      TimePoint now);

  /// The blackboard's servers changed.
  void OnServersChanged(TimePoint now);

  /// Runs what is due in every shard.
  void Tick(TimePoint now);

  /// Returns when Tick() must next be called; nullopt when nothing is due.
  [[nodiscard]] std::optional<TimePoint> NextWake() const;

  /// Returns the commands since the last call, in order by shard.
  std::vector<DispatchCommand> TakeCommands();

  /// Returns the state of each owned shard in brief.
  [[nodiscard]] std::vector<ShardSummary> Summaries(TimePoint now) const;

 private:
  DataCentreId data_centre_;
  const Blackboard& blackboard_;
  DispatcherOptions options_;
  std::map<ModelId, std::unique_ptr<Dispatcher>> shards_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_SHARD_HOST_H_
