#ifndef BRIARLEAD_HTTP_HTTP_TYPES_H_
#define BRIARLEAD_HTTP_HTTP_TYPES_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// One header field of a request or response.
struct HttpHeader {
  std::string name;
  std::string value;

  friend bool operator==(const HttpHeader&, const HttpHeader&) = default;
};

/// Header fields in the order in which they are sent.
using HttpHeaders = std::vector<HttpHeader>;

/// Returns the value of the first field called `name` (ASCII case ignored), or
/// nullopt.
std::optional<std::string_view> FindHeader(const HttpHeaders& headers,
                                           std::string_view name);

/// A whole response.
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string content_type;  ///< Empty for a response without a body.
  std::string body;
};

/// A whole request to a server.
struct HttpRequest {
  Endpoint endpoint;
  std::string method = "GET";
  /// Path with its query, as it stands in the request line ("/v1/held?x=1").
  std::string path = "/";
  HttpHeaders headers;
  std::string body;
  /// Time until a connection is there and the request begins to leave.
  Duration connect_timeout = std::chrono::seconds(2);
  /// Time from then until the response's head has come; zero means no limit.
  Duration first_byte_timeout = std::chrono::seconds(30);
  /// True sends over a new connection, never one kept alive; so are all POSTs.
  bool new_connection = false;
};

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_HTTP_TYPES_H_
