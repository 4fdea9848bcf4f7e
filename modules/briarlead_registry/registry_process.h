#ifndef BRIARLEAD_REGISTRY_REGISTRY_PROCESS_H_
#define BRIARLEAD_REGISTRY_REGISTRY_PROCESS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "briarlead_core/error.h"
#include "briarlead_core/logger.h"
#include "briarlead_metrics/metrics.h"
#include "briarlead_net/glib_handles.h"
#include "briarlead_net/peer_transport.h"
#include "briarlead_registry/agreed_state.h"
#include "briarlead_registry/known_hosts.h"
#include "briarlead_registry/registry_call.h"
#include "briarlead_registry/server_file.h"
#include "briarlead_routes/briarlead_routes.h"
#include "briarlead_settings/routing_settings.h"
#include "briarlead_wire/http_listener.h"
#include "briarlead_wire/text_endpoint.h"

namespace briarlead {

/// The control process of one host: takes operators' changes of the list of
/// routes and backend servers' announcements, and tells every host of both.
class RegistryProcess {
 public:
  /// Called when the process must end; the exit code is 0 after a planned stop.
  using EndHandler = std::function<void(int exit_code)>;

  RegistryProcess(RoutingSettings settings,
                  RegistryCallReader read_call,
                  Logger& logger,
                  EndHandler on_end);

  /// Opens the ports and the data folder.
  Result<void> Start();

  /// Begins a planned stop: hands the leadership over, then ends.
  void Stop();

  /// Takes over what may change while the process runs: the seeds.
  void Reload(const RoutingSettings& settings);

 private:
  Result<void> OpenPorts();
  [[nodiscard]] std::string RenderMetrics();
  void Tick();

  void OnFrame(const Frame& frame);
  void OnRoutingFrame(const Frame& frame, TimePoint now);
  void OnHostHeartbeat(const Endpoint& peer,
                       const HostHeartbeat& heartbeat,
                       TimePoint now);
  void OnNews(const RoutingUpdate& news, TimePoint now);

  void OnCall(const CallerRequestId& id, RequestHead& head, std::string& body);
  void Handle(const CallerRequestId& id, ReplaceRoutesCall& call);
  void Handle(const CallerRequestId& id, ReadRoutesCall& call);
  void Handle(const CallerRequestId& id, AnnounceCall& call);
  void Handle(const CallerRequestId& id, DepartCall& call);
  void Handle(const CallerRequestId& id, InvalidCall& call);
  void Handle(const CallerRequestId& id, UnknownCall& call);
  void Answer(const CallerRequestId& id, int status, std::string_view body);
  /// Sends an operator on to the leader, or says that there is none.
  void SendToLeader(const CallerRequestId& id, std::string_view why);

  void SendHeartbeats(TimePoint now);
  void LoadServers(TimePoint now);
  /// Saves the servers if they have changed and some time has passed.
  void SaveServersWhenDue(TimePoint now);
  /// Tells the entry hosts, and with `to_control` the other control hosts, of
  /// changed servers.
  void TellServers(const std::vector<AnnouncedServer>& servers,
                   bool to_control);
  void TellRoutes();
  [[nodiscard]] std::vector<Endpoint> ControlPeers() const;
  [[nodiscard]] std::vector<AnnouncedServer> HeardServers(TimePoint now) const;
  void SendNews(const Endpoint& peer, RoutingUpdate news);

  RoutingSettings settings_;
  RegistryCallReader read_call_;
  Logger& logger_;
  EndHandler on_end_;
  std::unique_ptr<PeerTransport> transport_;
  std::unique_ptr<HttpListener> listener_;
  TextEndpoint metrics_endpoint_;
  std::unique_ptr<AgreedState> state_;
  ServerDirectory directory_;
  ServerFile server_file_;
  std::uint64_t saved_revision_ = 0;
  TimePoint next_save_;
  KnownHosts hosts_;
  Metrics metrics_;
  Metrics::CounterId announcements_;
  Metrics::CounterId changes_;
  Metrics::CounterId invalid_calls_;
  Metrics::GaugeId leads_;
  Metrics::GaugeId in_touch_;
  Metrics::GaugeId routes_version_;
  Metrics::GaugeId members_;
  Metrics::GaugeId servers_;
  Metrics::GaugeId entry_hosts_;
  std::string path_in_progress_;  ///< Of the call that is being handled.
  TimePoint next_heartbeat_;
  std::uint64_t heartbeats_ = 0;
  bool stopping_ = false;
  TimePoint stop_deadline_;
  SourceHandle timer_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_REGISTRY_REGISTRY_PROCESS_H_
