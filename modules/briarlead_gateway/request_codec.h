#ifndef BRIARLEAD_GATEWAY_REQUEST_CODEC_H_
#define BRIARLEAD_GATEWAY_REQUEST_CODEC_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "briarlead_core/findings.h"
#include "briarlead_forward/forward_command.h"
#include "briarlead_routes/route_list.h"
#include "briarlead_wire/http_head.h"
#include "briarlead_wire/upstream_connection.h"

namespace briarlead {

/// Translates between the formats of a deployment and the types of forwarding:
/// header fields of requests and responses, and the list of routes.
struct RequestCodec {
  std::function<RequestFacts(const RequestHead& head)> read_request;
  std::function<RequestHead(const RequestHead& caller,
                            const SendToServer& send)>
      write_request;
  std::function<ResponseFacts(const ResponseHead& head)> read_response;
  /// Returns whether a response belongs to the request `id`.
  std::function<ResponseMatch(const ResponseHead& head, std::string_view id)>
      match_response;
  /// Returns the name of the KV result in the body of a prefill response.
  std::function<std::optional<std::string>(std::string_view body)>
      read_prefill_result;
  std::function<std::optional<RouteList>(std::string_view text,
                                         Findings& findings)>
      read_routes;
};

}  // namespace briarlead

#endif  // BRIARLEAD_GATEWAY_REQUEST_CODEC_H_
