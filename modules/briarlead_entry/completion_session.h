#ifndef BRIARLEAD_ENTRY_COMPLETION_SESSION_H_
#define BRIARLEAD_ENTRY_COMPLETION_SESSION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "briarlead_core/request_id.h"
#include "briarlead_core/time.h"
#include "briarlead_entry/dispatch_adapter.h"
#include "briarlead_entry/entry_context.h"
#include "briarlead_entry/request_metrics.h"
#include "briarlead_http/briarlead_http.h"
#include "briarlead_lists/briarlead_lists.h"
#include "briarlead_requests/completion_flow.h"

namespace briarlead {

/// A model request that was admitted, with the terms of its customer's plan.
struct CompletionJob {
  RequestId id;
  std::shared_ptr<HttpExchange> exchange;
  CompletionRequest request;
  CustomerId customer;
  double weight = 1.0;
  Entitlement use;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
};

/// Connects the CompletionFlow of one model request to its caller, its engines
/// and the dispatcher of its shard.
class CompletionSession {
 public:
  CompletionSession(const EntryContext& context,
                    DispatchAdapter& dispatch,
                    RequestMetrics& metrics,
                    CompletionJob job,
                    TimePoint now);
  ~CompletionSession();
  CompletionSession(const CompletionSession&) = delete;
  CompletionSession& operator=(const CompletionSession&) = delete;

  /// Starts the request. `on_end` is called from the event loop once the
  /// session is done; it may destroy the session.
  void Start(std::function<void()> on_end, TimePoint now);

  /// Handles the results of a placement request.
  void OnGrant(const PlacementGrant& grant, TimePoint now);
  void OnRefusal(const PlacementRefusal& refusal, TimePoint now);
  /// Runs what is due at `now`.
  void Tick(TimePoint now);

  /// Returns whether Tick() has work to do at `now`.
  [[nodiscard]] bool IsDue(TimePoint now) const;

  [[nodiscard]] bool done() const { return flow_.done(); }
  [[nodiscard]] std::uint32_t output_tokens() const {
    return flow_.delivered_tokens();
  }

 private:
  /// Carries out the commands of the flow until none are left, sends the caller
  /// what they produced, and calls `on_end` when the session is done.
  void RunCommands(TimePoint now);
  void Run(const RequestPlacement& command, TimePoint now);
  void Run(const StartPrefill& command, TimePoint now);
  void Run(const StartDecode& command, TimePoint now);
  void Run(const AbortAttempt& command, TimePoint now);
  void Run(const ReportPrefillDone& command, TimePoint now);
  void Run(const ReportFirstToken& command, TimePoint now);
  void Run(const ReportProgress& command, TimePoint now);
  void Run(const ReportFinished& command, TimePoint now);
  void Run(const ReportFailed& command, TimePoint now);
  void Run(const ReportCancelled& command, TimePoint now);
  void Run(const DeliverToken& command, TimePoint now);
  void Run(const CompleteAnswer& command, TimePoint now);
  void Run(const GiveUp& command, TimePoint now);

  void OnPrefillEnd(std::uint32_t attempt, const HttpCallEnd& end);
  void OnDecodeData(std::uint32_t attempt, std::string_view data);
  void OnDecodeEnd(std::uint32_t attempt, const HttpCallEnd& end);
  void OnDecodeEvent(std::uint32_t attempt,
                     const SseEvent& event,
                     TimePoint now);
  [[nodiscard]] EnginePrompt MakePrompt() const;
  void ObserveToken(TimePoint now);
  /// Stops reading from the decode engine when too much output waits for a slow
  /// caller.
  void PauseDecodeIfNeeded();

  EntryContext context_;
  DispatchAdapter& dispatch_;
  RequestMetrics& metrics_;
  CompletionJob job_;
  TimePoint arrived_;
  std::optional<TimePoint> first_token_;
  TimePoint last_token_;
  Duration longest_gap_{};
  CompletionFlow flow_;
  CompletionWriter writer_;
  std::function<void()> on_end_;
  std::string delivered_text_;
  std::string pending_chunks_;
  std::unique_ptr<HttpCall> prefill_call_;
  std::unique_ptr<HttpCall> decode_call_;
  int engine_status_ = 0;
  std::string prefill_body_;
  std::optional<SseParser> sse_parser_;
  bool decode_done_received_ = false;
  bool decode_paused_ = false;
  bool running_commands_ = false;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_COMPLETION_SESSION_H_
