#ifndef BRIARLEAD_GATEWAY_GATEWAY_FOR_TESTS_H_
#define BRIARLEAD_GATEWAY_GATEWAY_FOR_TESTS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "briarlead_gateway/request_codec.h"
#include "briarlead_settings/routing_settings.h"

namespace briarlead {

/// Reads "VERSION SERVICE [TIMEOUT_MS]" as a list with routes to that service:
/// below "/in/" for requests that may run once, below "/safe/" for idempotent
/// ones, below "/stream/" for streams that may be resumed and below "/once/"
/// for those that may not.
inline std::optional<RouteList> ReadTestRoutes(std::string_view text,
                                               Findings& findings) {
  const std::size_t space = text.find(' ');
  const std::size_t timeout = text.find(' ', space + 1);
  if (space == std::string_view::npos) {
    findings.Add("routes", "", "unreadable");
    return std::nullopt;
  }
  RouteList list;
  list.version = std::stoul(std::string(text.substr(0, space)));
  const std::string service(text.substr(space + 1, timeout - space - 1));
  list.services = {{ServiceId(service), "/health", 10, std::nullopt}};
  Route route;
  route.name = "r";
  route.host = "h";
  route.path_prefix = "/in/";
  route.services = {{list.services[0].name, 1}};
  if (timeout != std::string_view::npos) {
    route.timeout = std::chrono::milliseconds(
        std::stoul(std::string(text.substr(timeout + 1))));
  }
  Route safe = route;
  safe.name = "safe";
  safe.path_prefix = "/safe/";
  safe.kind = RouteKind::kSafe;
  safe.max_attempts = 2;
  Route stream = route;
  stream.name = "s";
  stream.path_prefix = "/stream/";
  stream.kind = RouteKind::kStream;
  stream.resumable = true;
  stream.max_attempts = 2;
  Route once = stream;
  once.name = "once";
  once.path_prefix = "/once/";
  once.resumable = false;
  list.routes = {route, safe, stream, once};
  return list;
}

inline RequestCodec MakeTestCodec() {
  RequestCodec codec;
  codec.read_request = [](const RequestHead& head) {
    RequestFacts facts;
    facts.id = head.fields.Find("Id").value_or("id");
    facts.resumed_attempt = head.fields.Find("Resumes").value_or("");
    if (!facts.resumed_attempt.empty())
      facts.last_event_id = 1;
    facts.patience = std::chrono::seconds(10);
    facts.credentials = head.fields.Find("Caller").value_or("");
    return facts;
  };
  codec.write_request = [](const RequestHead& caller, const SendToServer&) {
    RequestHead head = caller;
    RemoveHopByHopFields(head.fields);
    return head;
  };
  codec.read_response = [](const ResponseHead& head) {
    ResponseFacts facts{head.status, false, false, true};
    facts.proven_not_run = head.fields.Find("Not-Run").has_value();
    facts.leaving = head.fields.Find("Leaving").has_value();
    if (head.fields.Find("Retry-After").has_value())
      facts.wants_pause = std::chrono::seconds(60);
    return facts;
  };
  codec.match_response = [](const ResponseHead& head, std::string_view) {
    return head.fields.Find("Unmarked").has_value() ? ResponseMatch::kUnmarked
                                                    : ResponseMatch::kOwn;
  };
  codec.read_prefill_result = [](std::string_view) { return std::nullopt; };
  codec.read_routes = ReadTestRoutes;
  return codec;
}

/// The ports of an entry host of a test.
struct TestPorts {
  std::uint16_t control_peers = 0;
  std::uint16_t entry_peers = 0;
  std::uint16_t relay = 0;
  std::uint16_t callers = 0;
  std::uint16_t ready = 0;
};

/// The key that the hosts of a test share.
inline std::string TestKey() {
  return std::string(32, 'k');
}

/// Returns the settings of an entry host at `address`, in data centre "a",
/// whose control host is at `control`.
inline RoutingSettings MakeTestSettings(const std::string& address,
                                        const std::string& control,
                                        const TestPorts& ports) {
  RoutingSettings settings;
  settings.name = address;
  settings.address = address;
  settings.data_centre = DataCentreId("a");
  settings.control_peer_port = ports.control_peers;
  settings.entry_peer_port = ports.entry_peers;
  settings.relay_port = ports.relay;
  settings.seeds = {{control, 1}};
  settings.callers = {address, ports.callers};
  settings.ready = {address, ports.ready};
  settings.frame_key = TestKey();
  return settings;
}

}  // namespace briarlead

#endif  // BRIARLEAD_GATEWAY_GATEWAY_FOR_TESTS_H_
