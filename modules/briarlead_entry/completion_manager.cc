#include "briarlead_entry/completion_manager.h"

#include <utility>
#include <vector>

namespace briarlead {

CompletionManager::CompletionManager(const EntryContext& context,
                                     DispatchAdapter& dispatch,
                                     RequestMetrics& metrics)
    : context_(context), dispatch_(dispatch), metrics_(metrics) {}

CompletionManager::~CompletionManager() = default;

void CompletionManager::OnRequest(
    CompletionJob job,
    std::function<void(std::uint32_t output_tokens)> on_end,
    TimePoint now) {
  const RequestId id = job.id;
  auto session = std::make_unique<CompletionSession>(
      context_, dispatch_, metrics_, std::move(job), now);
  CompletionSession* added = session.get();
  sessions_[id] = {std::move(session), std::move(on_end)};
  added->Start([this, id] { RemoveIfDone(id); }, now);
}

void CompletionManager::OnGrant(const PlacementGrant& grant, TimePoint now) {
  const auto it = sessions_.find(grant.request);
  if (it != sessions_.end())
    it->second.session->OnGrant(grant, now);
}

void CompletionManager::OnRefusal(const PlacementRefusal& refusal,
                                  TimePoint now) {
  const auto it = sessions_.find(refusal.request);
  if (it != sessions_.end())
    it->second.session->OnRefusal(refusal, now);
}

void CompletionManager::Tick(TimePoint now) {
  // CompletionSession::Tick() may end a session and remove it from `sessions_`.
  std::vector<RequestId> due;
  for (const auto& [id, request] : sessions_) {
    if (request.session->IsDue(now))
      due.push_back(id);
  }
  for (const RequestId& id : due) {
    const auto it = sessions_.find(id);
    if (it != sessions_.end())
      it->second.session->Tick(now);
  }
}

void CompletionManager::RemoveIfDone(const RequestId& id) {
  const auto it = sessions_.find(id);
  if (it == sessions_.end() || !it->second.session->done())
    return;
  const OpenRequest ended = std::move(it->second);
  sessions_.erase(it);
  ended.on_end(ended.session->output_tokens());
}

}  // namespace briarlead
