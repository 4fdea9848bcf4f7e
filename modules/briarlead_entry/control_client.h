#ifndef BRIARLEAD_ENTRY_CONTROL_CLIENT_H_
#define BRIARLEAD_ENTRY_CONTROL_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_state/control_message.h"

namespace briarlead {

/// A request to send to a control host.
struct SendControlRequest {
  Endpoint control_host;
  ControlRequest request;
};

/// Sends requests to the leader of the control hosts, which it finds by trial
/// and by the answers of followers, and sends each control host the heartbeat
/// that subscribes to the lists. Does no I/O. Requests may be lost; a caller
/// that needs an answer must retry.
class ControlClient {
 public:
  /// Interval of the heartbeat to each control host.
  static constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);
  /// Time without an answer from the presumed leader after which the next
  /// control host is tried.
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(350);

  explicit ControlClient(std::vector<Endpoint> control_hosts);

  /// Sends `body` to the presumed leader; returns the number of the request.
  std::uint64_t SendRequest(ControlRequestBody body, TimePoint now);

  /// Handles an answer of the control host `host` at `control_host`. Returns
  /// whether it answers a request of SendRequest() that is still pending.
  bool OnAnswer(const Endpoint& control_host,
                const HostId& host,
                const ControlAnswer& answer);

  /// The link to `control_host` failed: all pending requests to it are reported
  /// as unanswered, because they may have been lost.
  void OnLinkFailure(const Endpoint& control_host);

  /// Sends the heartbeat when it is due. When a pending request has timed out,
  /// gives up every request to that control host and tries the next one.
  void Tick(const ListsHeartbeat& heartbeat, TimePoint now);

  /// Returns the requests to send since the last call, in order.
  std::vector<SendControlRequest> TakeCommands();

  /// Returns the numbers of the requests that were given up since the last
  /// call.
  std::vector<std::uint64_t> TakeUnanswered();

 private:
  struct PendingRequest {
    Endpoint control_host;
    TimePoint sent;
  };

  void TryNextHost();
  void FailPendingAt(const Endpoint& control_host);

  std::vector<Endpoint> control_hosts_;
  std::map<HostId, Endpoint> endpoints_;  ///< Learned from answers.
  std::size_t leader_index_ = 0;          ///< In `control_hosts_`.
  std::uint64_t last_number_ = 0;
  std::map<std::uint64_t, PendingRequest> pending_;
  std::optional<TimePoint> next_heartbeat_;
  std::vector<SendControlRequest> commands_;
  std::vector<std::uint64_t> unanswered_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_CONTROL_CLIENT_H_
