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
#include "briarlead_entry/admission.h"
#include "briarlead_entry/completion_desk.h"
#include "briarlead_entry/control_client.h"
#include "briarlead_entry/dispatch_link.h"
#include "briarlead_entry/entry_context.h"
#include "briarlead_entry/host_beacon.h"
#include "briarlead_entry/lists_follower.h"
#include "briarlead_entry/request_metrics.h"
#include "briarlead_entry/service_desk.h"
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
  void OnCompletion(std::shared_ptr<HttpExchange> exchange,
                    const CustomerEntry& customer,
                    CompletionKind kind);
  void OnServiceCall(std::shared_ptr<HttpExchange> exchange,
                     const CustomerEntry& customer,
                     const ServiceSettings& service);
  [[nodiscard]] std::string StatusDocument() const;
  void Refuse(HttpExchange& exchange,
              int status,
              std::string_view title,
              std::string_view detail,
              std::optional<Duration> retry_after = std::nullopt);

  // Frames of other processes.
  void OnFrame(const Frame& frame);
  void OnControlFrame(const Frame& frame, TimePoint now);
  void OnControlAnswer(const Frame& frame,
                       const ControlAnswer& answer,
                       TimePoint now);
  void OnLinkFailure(const Endpoint& peer);

  void TakeLists(const ListsInForce& lists, TimePoint now);
  void AskPeersForLists();
  void SendBeacons(TimePoint now);
  void RunControlCommands(TimePoint now);
  void OnMembersChanged(TimePoint now);
  void Tick();
  void ScheduleTick(TimePoint now);
  [[nodiscard]] bool Ready(TimePoint now) const;
  RequestId NextRequestId();

  EntrySettings settings_;
  Logger& logger_;
  EndHandler on_end_;
  std::uint64_t incarnation_;
  std::uint64_t last_request_ = 0;
  Blackboard blackboard_;
  HttpClient http_;
  RequestMetrics metrics_;
  EntryContext context_;
  HostBeacon beacon_;
  ListsFollower lists_;
  ControlClient control_;
  Admission admission_;
  std::unique_ptr<PeerTransport> transport_;
  std::unique_ptr<DispatchLink> link_;
  std::unique_ptr<CompletionDesk> completions_;
  std::unique_ptr<ServiceDesk> services_;
  std::unique_ptr<HttpServer> callers_;
  bool stopping_ = false;
  std::optional<TimePoint> next_beacon_;
  SourceHandle timer_;
  SourceHandle wake_timer_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_ENTRY_PROCESS_H_
