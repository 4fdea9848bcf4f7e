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
/// events are passed in with the current time, and the resulting commands are
/// taken out after each event. Events of an attempt that is no longer current
/// are ignored.
///
/// A stream may be paused to free its decode slot: its decode attempt is
/// cancelled and later granted again under the next attempt number. An entry
/// host handles this like the failure of a decode engine and resumes from the
/// tokens that it has already delivered.
class Dispatcher {
 public:
  /// `blackboard` must outlive the dispatcher; its server table lists the
  /// engines. Call OnServersChanged() after each change of that table.
  Dispatcher(DataCentreId data_centre,
             ModelId model,
             const Blackboard& blackboard,
             const DispatcherOptions& options);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Accepts a request, which is granted, queued or refused within this call. A
  /// request that is already known is not added twice: if it is running, its
  /// grant is repeated.
  void Enqueue(const PlacementRequest& placement, TimePoint now);

  /// The prefill engine finished; `kv_bytes` is the size of the KV cache that
  /// it produced.
  void OnPrefillDone(const RequestId& request,
                     std::uint32_t attempt,
                     std::uint64_t kv_bytes,
                     TimePoint now);

  /// The first token of this attempt arrived at the entry host.
  void OnFirstToken(const RequestId& request,
                    std::uint32_t attempt,
                    TimePoint now);

  /// `tokens` output tokens of this attempt have been delivered so far.
  /// Optional: improves the forecast of free slots and detects stalled streams.
  void OnProgress(const RequestId& request,
                  std::uint32_t attempt,
                  std::uint32_t tokens,
                  TimePoint now);

  /// The stream completed after `output_tokens` tokens of this attempt.
  void OnFinished(const RequestId& request,
                  std::uint32_t attempt,
                  std::uint32_t output_tokens,
                  TimePoint now);

  /// The attempt failed on `server`. Within this call the request is queued
  /// again, or refused when it has no attempts left. After a decode failure the
  /// entry host calls Enqueue() again with an up-to-date `delivered_tokens`,
  /// unless it reported the delivered tokens with OnProgress().
  void OnAttemptFailed(const RequestId& request,
                       std::uint32_t attempt,
                       FailedStage stage,
                       const BackendServerId& server,
                       TimePoint now);

  /// The caller disconnected: everything held for the request is released.
  void OnCallerGone(const RequestId& request, TimePoint now);

  /// An entry host died: all its requests up to `incarnation` are released.
  void OnHostDead(const HostId& host, std::uint64_t incarnation, TimePoint now);

  /// An entry host reports one of its requests in flight to a new shard owner.
  void OnReRegister(const InFlightPlacement& in_flight, TimePoint now);

  /// An engine reports all attempts that it holds. An attempt that belongs to
  /// no known request for the whole grace period is cancelled on the engine.
  void OnEngineReport(const BackendServerId& server,
                      std::span<const HeldAttempt> held,
                      TimePoint now);

  /// A prefill engine reports which prompt blocks it cached and evicted.
  /// Reports may be late or missing.
  void OnCacheEvent(const BackendServerId& server,
                    std::span<const std::uint64_t> cached,
                    std::span<const std::uint64_t> evicted);

  /// The blackboard's servers changed: one joined, left, stopped responding or
  /// returned.
  void OnServersChanged(TimePoint now);

  /// Handles expired timers and starts queued requests. Must be called at
  /// NextWake() at the latest.
  void Tick(TimePoint now);

  /// Returns when Tick() must be called next; nullopt when no call is needed.
  [[nodiscard]] std::optional<TimePoint> NextWake() const;

  /// Returns the commands of the events since the last call, in order.
  [[nodiscard]] std::vector<DispatchCommand> TakeCommands();

  /// Returns a summary of the shard's state.
  [[nodiscard]] ShardSummary Summary(TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_DISPATCHER_H_
