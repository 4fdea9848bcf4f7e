#ifndef BRIARLEAD_HTTP_HTTP_TYPES_H_
#define BRIARLEAD_HTTP_HTTP_TYPES_H_

#include <string>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/time.h"
#include "briarlead_wire/http_head.h"

namespace briarlead {

/// A whole response. Fields that can't be written are left out.
struct HttpResponse {
  int status = 200;
  HeaderFields headers;
  std::string content_type;  ///< Empty for a response without a body.
  std::string body;
};

/// A whole request to a server. Fields that can't be written are left out.
struct HttpRequest {
  Endpoint endpoint;
  std::string method = "GET";
  /// Path with its query, as it stands in the request line ("/v1/held?x=1").
  std::string path = "/";
  HeaderFields headers;
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
