#ifndef BRIARLEAD_DISPATCH_DISPATCHER_H_
#define BRIARLEAD_DISPATCH_DISPATCHER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "briarlead_blackboard/blackboard.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/request_id.h"
#include "briarlead_core/time.h"
#include "briarlead_dispatch/dispatcher_options.h"
#include "briarlead_dispatch/placement.h"

namespace briarlead {

/// Decides which prefill engine, decode engine and link each request of one
/// pool shard (one model in one data centre) gets, and when. Does no I/O:
/// events come in with the present time, commands are taken out after each
/// event. Events of an attempt that is no longer current are ignored.
///
/// A stream may be paused to make room: its decode attempt is cancelled and
/// later granted again under the next attempt number. To an entry host that
/// looks like the death of a decode engine; it goes on from the tokens that it
/// has delivered.
class Dispatcher {
 public:
  /// `blackboard` must outlive the dispatcher; its server table names the
  /// engines. Call OnServersChanged() after each change of that table.
  Dispatcher(DataCentreId data_centre,
             ModelId model,
             const Blackboard& blackboard,
             const DispatcherOptions& options);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Takes a request. It is granted, queued or refused within this call. A
  /// request that is already known is not taken twice: a running one has its
  /// grant repeated.
  void Enqueue(const PlacementRequest& placement, TimePoint now);

  /// The prefill engine finished; `kv_bytes` is the size of its result.
  void OnPrefillDone(const RequestId& request,
                     std::uint32_t attempt,
                     std::uint64_t kv_bytes,
                     TimePoint now);

  /// The caller's first token of this attempt arrived at the entry host.
  void OnFirstToken(const RequestId& request,
                    std::uint32_t attempt,
                    TimePoint now);

  /// `tokens` output tokens of this attempt were delivered so far. Optional;
  /// sharpens the forecast of free slots and finds stalled streams.
  void OnProgress(const RequestId& request,
                  std::uint32_t attempt,
                  std::uint32_t tokens,
                  TimePoint now);

  /// The stream ended whole after `output_tokens` tokens of this attempt.
  void OnFinished(const RequestId& request,
                  std::uint32_t attempt,
                  std::uint32_t output_tokens,
                  TimePoint now);

  /// The attempt failed on `server`. The request is placed again, or refused
  /// within this call when its attempts are used up. After a decode failure
  /// the entry host calls Enqueue() again with `delivered_tokens` up to date,
  /// unless it reported the delivered tokens by OnProgress().
  void OnAttemptFailed(const RequestId& request,
                       std::uint32_t attempt,
                       FailedStage stage,
                       const BackendServerId& server,
                       TimePoint now);

  /// The caller went away: everything held for the request is released.
  void OnCallerGone(const RequestId& request, TimePoint now);

  /// An entry host died: all requests of it up to `incarnation` are released.
  void OnHostDead(const HostId& host, std::uint64_t incarnation, TimePoint now);

  /// An entry host tells a new owner what it has under way.
  void OnReRegister(const InFlightPlacement& in_flight, TimePoint now);

  /// An engine reports all that it holds. What no living request claims is
  /// cancelled once it stayed unclaimed for the grace time.
  void OnEngineReport(const BackendServerId& server,
                      std::span<const HeldAttempt> held,
                      TimePoint now);

  /// A prefill engine says, late and with gaps, which prompt blocks it cached
  /// and dropped.
  void OnCacheEvent(const BackendServerId& server,
                    std::span<const std::uint64_t> cached,
                    std::span<const std::uint64_t> evicted);

  /// The blackboard's servers changed: one came, left, fell silent, returned.
  void OnServersChanged(TimePoint now);

  /// Runs what is due. Call it at NextWake() at the latest.
  void Tick(TimePoint now);

  /// Returns when Tick() must next be called; nullopt when nothing is due.
  [[nodiscard]] std::optional<TimePoint> NextWake() const;

  /// Returns the commands of the events since the last call, in order.
  [[nodiscard]] std::vector<DispatchCommand> TakeCommands();

  /// Returns the state of the shard in brief.
  [[nodiscard]] ShardSummary Summary(TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_DISPATCHER_H_
