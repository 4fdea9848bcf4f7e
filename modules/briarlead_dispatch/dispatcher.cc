#include "briarlead_dispatch/dispatcher.h"

#include <utility>

#include "briarlead_dispatch/dispatcher_impl.h"

namespace briarlead {

Dispatcher::Dispatcher(DataCentreId data_centre,
                       ModelId model,
                       const Blackboard& blackboard,
                       const DispatcherOptions& options)
    : impl_(std::make_unique<Impl>(std::move(data_centre),
                                   std::move(model),
                                   blackboard,
                                   options)) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::Enqueue(const PlacementRequest& placement, TimePoint now) {
  impl_->Enqueue(placement, now);
}

void Dispatcher::OnPrefillDone(const RequestId& request,
                               std::uint32_t attempt,
                               std::uint64_t kv_bytes,
                               TimePoint now) {
  impl_->OnPrefillDone(request, attempt, kv_bytes, now);
}

void Dispatcher::OnFirstToken(const RequestId& request,
                              std::uint32_t attempt,
                              TimePoint now) {
  impl_->OnFirstToken(request, attempt, now);
}

void Dispatcher::OnProgress(const RequestId& request,
                            std::uint32_t attempt,
                            std::uint32_t tokens,
                            TimePoint now) {
  impl_->OnProgress(request, attempt, tokens, now);
}

void Dispatcher::OnFinished(const RequestId& request,
                            std::uint32_t attempt,
                            std::uint32_t output_tokens,
                            TimePoint now) {
  impl_->OnFinished(request, attempt, output_tokens, now);
}

void Dispatcher::OnAttemptFailed(const RequestId& request,
                                 std::uint32_t attempt,
                                 FailedStage stage,
                                 const BackendServerId& server,
                                 TimePoint now) {
  impl_->OnAttemptFailed(request, attempt, stage, server, now);
}

void Dispatcher::OnCallerGone(const RequestId& request, TimePoint now) {
  impl_->OnCallerGone(request, now);
}

void Dispatcher::OnHostDead(const HostId& host,
                            std::uint64_t incarnation,
                            TimePoint now) {
  impl_->OnHostDead(host, incarnation, now);
}

void Dispatcher::OnReRegister(const InFlightPlacement& in_flight,
                              TimePoint now) {
  impl_->OnReRegister(in_flight, now);
}

void Dispatcher::OnEngineReport(const BackendServerId& server,
                                std::span<const HeldAttempt> held,
                                TimePoint now) {
  impl_->OnEngineReport(server, held, now);
}

void Dispatcher::OnCacheEvent(const BackendServerId& server,
                              std::span<const std::uint64_t> cached,
                              std::span<const std::uint64_t> evicted) {
  impl_->OnCacheEvent(server, cached, evicted);
}

void Dispatcher::OnServersChanged(TimePoint now) {
  impl_->OnServersChanged(now);
}

void Dispatcher::Tick(TimePoint now) {
  impl_->Tick(now);
}

std::optional<TimePoint> Dispatcher::NextWake() const {
  return impl_->NextWake();
}

std::vector<DispatchCommand> Dispatcher::TakeCommands() {
  return impl_->TakeCommands();
}

ShardSummary Dispatcher::Summary(TimePoint now) const {
  return impl_->Summary(now);
}

}  // namespace briarlead
