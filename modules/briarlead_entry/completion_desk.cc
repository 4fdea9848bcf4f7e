#include "briarlead_entry/completion_desk.h"

#include <utility>
#include <vector>

namespace briarlead {

CompletionDesk::CompletionDesk(const EntryContext& context,
                               DispatchLink& link,
                               RequestMetrics& metrics)
    : context_(context), link_(link), metrics_(metrics) {}

CompletionDesk::~CompletionDesk() = default;

void CompletionDesk::OnRequest(
    CompletionJob job,
    std::function<void(std::uint32_t output_tokens)> on_end,
    TimePoint now) {
  const RequestId id = job.id;
  auto session = std::make_unique<CompletionSession>(context_, link_, metrics_,
                                                     std::move(job), now);
  CompletionSession* raw = session.get();
  sessions_[id] = {std::move(session), std::move(on_end)};
  raw->Start([this, id] { EndIfDone(id); }, now);
}

void CompletionDesk::OnGrant(const PlacementGrant& grant, TimePoint now) {
  const auto it = sessions_.find(grant.request);
  if (it != sessions_.end())
    it->second.session->OnGrant(grant, now);
}

void CompletionDesk::OnRefusal(const PlacementRefusal& refusal, TimePoint now) {
  const auto it = sessions_.find(refusal.request);
  if (it != sessions_.end())
    it->second.session->OnRefusal(refusal, now);
}

void CompletionDesk::Tick(TimePoint now) {
  // Sessions may end while they are ticked.
  std::vector<RequestId> due;
  for (const auto& [id, open] : sessions_) {
    if (open.session->IsDue(now))
      due.push_back(id);
  }
  for (const RequestId& id : due) {
    const auto it = sessions_.find(id);
    if (it != sessions_.end())
      it->second.session->Tick(now);
  }
}

void CompletionDesk::EndIfDone(const RequestId& id) {
  const auto it = sessions_.find(id);
  if (it == sessions_.end() || !it->second.session->done())
    return;
  const Open ended = std::move(it->second);
  sessions_.erase(it);
  ended.on_end(ended.session->output_tokens());
}

}  // namespace briarlead
