#ifndef BRIARLEAD_ENTRY_COMPLETION_MANAGER_H_
#define BRIARLEAD_ENTRY_COMPLETION_MANAGER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>

#include "briarlead_core/request_id.h"
#include "briarlead_core/time.h"
#include "briarlead_dispatch/briarlead_dispatch.h"
#include "briarlead_entry/completion_session.h"
#include "briarlead_entry/dispatch_adapter.h"
#include "briarlead_entry/entry_context.h"
#include "briarlead_entry/request_metrics.h"

namespace briarlead {

/// The model requests in progress on this entry host.
class CompletionManager {
 public:
  /// `dispatch` and `metrics` must outlive this object.
  CompletionManager(const EntryContext& context,
                    DispatchAdapter& dispatch,
                    RequestMetrics& metrics);
  ~CompletionManager();
  CompletionManager(const CompletionManager&) = delete;
  CompletionManager& operator=(const CompletionManager&) = delete;

  /// Accepts a request and responds now or later. Calls `on_end` once, when the
  /// caller has its response or has disconnected.
  void OnRequest(CompletionJob job,
                 std::function<void(std::uint32_t output_tokens)> on_end,
                 TimePoint now);

  /// Passes a grant or refusal to its session; ignored for unknown requests.
  void OnGrant(const PlacementGrant& grant, TimePoint now);
  void OnRefusal(const PlacementRefusal& refusal, TimePoint now);

  /// Runs what is due in each session.
  void Tick(TimePoint now);

  /// Returns the number of requests in progress.
  [[nodiscard]] std::size_t open_requests() const { return sessions_.size(); }

 private:
  struct OpenRequest {
    std::unique_ptr<CompletionSession> session;
    std::function<void(std::uint32_t output_tokens)> on_end;
  };

  /// Removes the session when it is done, and calls its `on_end`.
  void RemoveIfDone(const RequestId& id);

  EntryContext context_;
  DispatchAdapter& dispatch_;
  RequestMetrics& metrics_;
  std::unordered_map<RequestId, OpenRequest> sessions_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_COMPLETION_MANAGER_H_
