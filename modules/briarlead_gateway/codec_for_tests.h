#ifndef BRIARLEAD_GATEWAY_CODEC_FOR_TESTS_H_
#define BRIARLEAD_GATEWAY_CODEC_FOR_TESTS_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "briarlead_gateway/request_codec.h"

namespace briarlead {

/// Reads "VERSION SERVICE" as a list with one route to that service.
inline std::optional<RouteList> ReadTestRoutes(std::string_view text,
                                               Findings& findings) {
  const std::size_t space = text.find(' ');
  if (space == std::string_view::npos) {
    findings.Add("routes", "", "unreadable");
    return std::nullopt;
  }
  RouteList list;
  list.version = std::stoul(std::string(text.substr(0, space)));
  list.services = {{ServiceId(std::string(text.substr(space + 1))), "/health",
                    10, std::nullopt}};
  Route route;
  route.name = "r";
  route.host = "h";
  route.path_prefix = "/in/";
  route.services = {{list.services[0].name, 1}};
  list.routes = {route};
  return list;
}

inline RequestCodec MakeTestCodec() {
  RequestCodec codec;
  codec.read_request = [](const RequestHead&) {
    RequestFacts facts;
    facts.id = "id";
    facts.patience = std::chrono::seconds(5);
    return facts;
  };
  codec.write_request = [](const RequestHead& caller, const SendToServer&) {
    RequestHead head = caller;
    RemoveHopByHopFields(head.fields);
    return head;
  };
  codec.read_response = [](const ResponseHead& head) {
    return ResponseFacts{head.status, false, false, true};
  };
  codec.match_response = [](const ResponseHead&, std::string_view) {
    return ResponseMatch::kOwn;
  };
  codec.read_prefill_result = [](std::string_view) { return std::nullopt; };
  codec.read_routes = ReadTestRoutes;
  return codec;
}

}  // namespace briarlead

#endif  // BRIARLEAD_GATEWAY_CODEC_FOR_TESTS_H_
