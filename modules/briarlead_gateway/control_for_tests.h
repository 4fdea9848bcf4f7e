#ifndef BRIARLEAD_GATEWAY_CONTROL_FOR_TESTS_H_
#define BRIARLEAD_GATEWAY_CONTROL_FOR_TESTS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "briarlead_gateway/gateway_for_tests.h"
#include "briarlead_net/address_transport.h"
#include "briarlead_routes/routing_message.h"
#include "briarlead_routes/server_record.h"

namespace briarlead {

/// A stand-in of a control host: answers each heartbeat of an entry host with
/// an update.
class ControlForTests {
 public:
  /// Version of the list of routes that a host must have to count as ready.
  static constexpr std::uint64_t kRoutesVersion = 2;

  /// Returns the update for the entry host at `address`.
  using UpdateWriter = std::function<RoutingUpdate(const std::string& address)>;

  ControlForTests(const Endpoint& endpoint, UpdateWriter write_update)
      : write_update_(std::move(write_update)) {
    PeerTransport::Handlers handlers;
    handlers.on_frame = [this](const Frame& it) { OnFrame(it); };
    handlers.on_link_failure = [](const Endpoint&, LinkFailure) {};
    transport_ = std::move(
        OpenAddressTransport(endpoint, TestKey(), std::move(handlers)).value());
  }

  /// Returns the number of entry hosts that have reported the list of routes.
  [[nodiscard]] std::size_t ready_hosts() const { return ready_hosts_.size(); }

 private:
  void OnFrame(const Frame& frame) {
    const auto message = DecodeRoutingMessage(frame.payload);
    const auto* heartbeat = std::get_if<HostHeartbeat>(&message.value());
    if (heartbeat == nullptr)
      return;
    const Endpoint& host = frame.sender.peers;
    if (heartbeat->routes_version == kRoutesVersion)
      ready_hosts_.insert(host.address);
    transport_->Send(host, Channel::kRouting,
                     EncodeRoutingMessage(write_update_(host.address)));
  }

  UpdateWriter write_update_;
  std::unique_ptr<PeerTransport> transport_;
  std::set<std::string> ready_hosts_;
};

/// Returns the record of a ready server of the service "desk" at `address`, in
/// data centre "a".
inline ServerRecord MakeTestServer(const std::string& id,
                                   const Endpoint& address) {
  ServerRecord record;
  record.id = BackendServerId(id);
  record.service = ServiceId("desk");
  record.address = address;
  record.data_centre = DataCentreId("a");
  record.born_ms = 1;
  record.sequence = 1;
  return record;
}

}  // namespace briarlead

#endif  // BRIARLEAD_GATEWAY_CONTROL_FOR_TESTS_H_
