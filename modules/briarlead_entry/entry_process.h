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
#include "briarlead_entry/caller_gate.h"
#include "briarlead_entry/completion_desk.h"
#include "briarlead_entry/control_client.h"
#include "briarlead_entry/dispatch_link.h"
#include "briarlead_entry/entry_context.h"
#include "briarlead_entry/lists_follower.h"
#include "briarlead_entry/member_link.h"
#include "briarlead_entry/request_metrics.h"
#include "briarlead_entry/service_desk.h"
#include "briarlead_entry/status_document.h"
#include "briarlead_http/briarlead_http.h"
#include "briarlead_net/glib_handles.h"
#include "briarlead_net/peer_transport.h"
#include "briarlead_settings/briarlead_settings.h"

namespace briarlead {

/// The entry role of one host: takes callers' requests, routes them, owns pool
/// shards, follows the lists.
class EntryProcess {
 public:
  /// Called when the process must end; the exit code is 0 after a planned stop.
  using EndHandler = std::function<void(int exit_code)>;

  EntryProcess(EntrySettings settings, Logger& logger, EndHandler on_end);
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  /// Opens the ports. Errors: kInvalidArgument, kUnavailable.
  Result<void> Start();

  /// Begins a planned stop: takes no new work, lets all in progress finish,
  /// however long it takes, then ends.
  void Stop();

 private:
  Result<void> OpenPorts();

  // Requests over HTTP.
  void OnHttpRequest(std::shared_ptr<HttpExchange> exchange);
  void OnAnnouncement(HttpExchange& exchange);
  void OnOperatorRequest(HttpExchange& exchange);
  void OnCallerRequest(std::shared_ptr<HttpExchange> exchange);
  [[nodiscard]] EntryStatus Status(TimePoint now) const;

  // Frames of other processes.
  void OnFrame(const Frame& frame);
  void OnControlFrame(const Frame& frame, TimePoint now);
  void OnControlAnswer(const Frame& frame,
                       const ControlAnswer& answer,
                       TimePoint now);
  void OnLinkFailure(const Endpoint& peer);

  void TakeLists(const ListsInForce& lists, TimePoint now);
  void AskPeersForLists();
  void RunControlCommands(TimePoint now);
  void OnHostsChanged(TimePoint now);
  void OnServersChanged(TimePoint now);
  void OnHostDead(const HostId& host, std::uint64_t incarnation, TimePoint now);
  void Tick();
  void ScheduleTick(TimePoint now);
  [[nodiscard]] bool Ready(TimePoint now) const;
  RequestId NextRequestId();

  EntrySettings settings_;
  Logger& logger_;
  EndHandler on_end_;
  /// Grows with each start; ListsHeartbeat and frames carry it.
  std::uint64_t start_incarnation_;
  std::uint64_t last_request_ = 0;
  Blackboard blackboard_;
  HttpClient http_;
  RequestMetrics metrics_;
  EntryContext context_;
  ListsFollower lists_;
  ControlClient control_;
  std::unique_ptr<PeerTransport> transport_;
  std::unique_ptr<MemberLink> members_;
  std::unique_ptr<DispatchLink> link_;
  std::unique_ptr<CompletionDesk> completions_;
  std::unique_ptr<ServiceDesk> services_;
  std::unique_ptr<CallerGate> gate_;
  std::unique_ptr<HttpServer> callers_;
  bool stopping_ = false;
  /// When a control leader last answered.
  std::optional<TimePoint> leader_heard_;
  SourceHandle timer_;
  SourceHandle wake_timer_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_ENTRY_PROCESS_H_
