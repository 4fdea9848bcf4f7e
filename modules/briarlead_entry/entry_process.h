#ifndef BRIARLEAD_ENTRY_ENTRY_PROCESS_H_
#define BRIARLEAD_ENTRY_ENTRY_PROCESS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "briarlead_blackboard/blackboard.h"
#include "briarlead_core/error.h"
#include "briarlead_core/logger.h"
#include "briarlead_entry/caller_request_handler.h"
#include "briarlead_entry/completion_manager.h"
#include "briarlead_entry/control_client.h"
#include "briarlead_entry/dispatch_adapter.h"
#include "briarlead_entry/entry_context.h"
#include "briarlead_entry/lists_follower.h"
#include "briarlead_entry/membership_adapter.h"
#include "briarlead_entry/request_metrics.h"
#include "briarlead_entry/service_call_manager.h"
#include "briarlead_entry/status_document.h"
#include "briarlead_http/briarlead_http.h"
#include "briarlead_net/glib_handles.h"
#include "briarlead_net/peer_transport.h"
#include "briarlead_settings/briarlead_settings.h"

namespace briarlead {

/// The entry role of one host: accepts and routes the requests of callers, owns
/// pool shards, and applies the customer and plan lists.
class EntryProcess {
 public:
  /// Called when the process must exit; the exit code is 0 after a planned
  /// stop.
  using EndHandler = std::function<void(int exit_code)>;

  EntryProcess(EntrySettings settings, Logger& logger, EndHandler on_end);
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  /// Opens the ports. Errors: kInvalidArgument, kUnavailable.
  Result<void> Start();

  /// Starts a planned stop: accepts no new requests, waits for all requests in
  /// progress without a time limit, then exits.
  void Stop();

 private:
  Result<void> OpenPorts();

  // HTTP requests.
  void OnHttpRequest(std::shared_ptr<HttpExchange> exchange);
  void OnAnnouncement(HttpExchange& exchange);
  void OnOperatorRequest(HttpExchange& exchange);
  void OnCallerRequest(std::shared_ptr<HttpExchange> exchange);
  [[nodiscard]] EntryStatus Status(TimePoint now) const;

  // Frames from other processes.
  void OnFrame(const Frame& frame);
  void OnControlFrame(const Frame& frame, TimePoint now);
  void OnControlAnswer(const Frame& frame,
                       const ControlAnswer& answer,
                       TimePoint now);
  void OnLinkFailure(const Endpoint& peer);

  void ApplyLists(const ListsInForce& lists, TimePoint now);
  void RequestListsFromPeers();
  void RunControlCommands(TimePoint now);
  void OnHostsChanged(TimePoint now);
  void OnServersChanged(TimePoint now);
  void OnHostDead(const HostId& host, std::uint64_t incarnation, TimePoint now);
  void Tick();
  void ScheduleDispatchTick(TimePoint now);
  [[nodiscard]] bool Ready(TimePoint now) const;
  RequestId NextRequestId();

  EntrySettings settings_;
  Logger& logger_;
  EndHandler on_end_;
  /// Increases with each start; sent in ListsHeartbeat and in frames.
  std::uint64_t start_incarnation_;
  std::uint64_t last_request_ = 0;
  Blackboard blackboard_;
  HttpClient http_;
  RequestMetrics metrics_;
  EntryContext context_;
  ListsFollower lists_;
  ControlClient control_;
  std::unique_ptr<PeerTransport> transport_;
  std::unique_ptr<MembershipAdapter> membership_;
  std::unique_ptr<DispatchAdapter> dispatch_;
  std::unique_ptr<CompletionManager> completions_;
  std::unique_ptr<ServiceCallManager> services_;
  std::unique_ptr<CallerRequestHandler> request_handler_;
  std::unique_ptr<HttpServer> http_server_;
  bool stopping_ = false;
  /// When the control leader last answered.
  std::optional<TimePoint> leader_last_heard_;
  SourceHandle tick_timer_;
  SourceHandle dispatch_timer_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_ENTRY_PROCESS_H_
