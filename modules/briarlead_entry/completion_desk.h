#ifndef BRIARLEAD_ENTRY_COMPLETION_DESK_H_
#define BRIARLEAD_ENTRY_COMPLETION_DESK_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>

#include "briarlead_core/request_id.h"
#include "briarlead_core/time.h"
#include "briarlead_dispatch/briarlead_dispatch.h"
#include "briarlead_entry/completion_session.h"
#include "briarlead_entry/dispatch_link.h"
#include "briarlead_entry/entry_context.h"
#include "briarlead_entry/request_metrics.h"

namespace briarlead {

/// The model requests that this entry host has taken.
class CompletionDesk {
 public:
  /// `link` and `metrics` must outlive the desk.
  CompletionDesk(const EntryContext& context,
                 DispatchLink& link,
                 RequestMetrics& metrics);
  ~CompletionDesk();
  CompletionDesk(const CompletionDesk&) = delete;
  CompletionDesk& operator=(const CompletionDesk&) = delete;

  /// Takes a request; answers it now or later. `on_end` is called once, when
  /// the caller has its answer or has gone.
  void OnRequest(CompletionJob job,
                 std::function<void(std::uint32_t output_tokens)> on_end,
                 TimePoint now);

  void OnGrant(const PlacementGrant& grant, TimePoint now);
  void OnRefusal(const PlacementRefusal& refusal, TimePoint now);

  void Tick(TimePoint now);

  /// Returns the number of requests in progress.
  [[nodiscard]] std::size_t open_requests() const { return sessions_.size(); }

 private:
  struct Open {
    std::unique_ptr<CompletionSession> session;
    std::function<void(std::uint32_t output_tokens)> on_end;
  };

  /// Forgets the session when it has ended.
  void EndIfDone(const RequestId& id);

  EntryContext context_;
  DispatchLink& link_;
  RequestMetrics& metrics_;
  std::unordered_map<RequestId, Open> sessions_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_COMPLETION_DESK_H_
