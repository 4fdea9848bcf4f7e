#ifndef BRIARLEAD_WIRE_TEXT_ENDPOINT_H_
#define BRIARLEAD_WIRE_TEXT_ENDPOINT_H_

#include <functional>
#include <memory>
#include <string>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/error.h"
#include "briarlead_wire/http_listener.h"

namespace briarlead {

/// Answers every request on one address with a text, such as metrics.
class TextEndpoint {
 public:
  using Render = std::function<std::string()>;

  /// Serves on `endpoint`; a port of 0 stands for none, which serves nothing.
  /// Errors: as of HttpListener::Listen().
  Result<void> Serve(const Endpoint& endpoint, Render render);

  /// As HttpListener::SetMemoryBudget() and SetMaxConnections(). Only after
  /// Serve().
  void SetLimits(MemoryBudget& budget, std::size_t max_connections);

 private:
  Render render_;
  std::unique_ptr<HttpListener> listener_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_WIRE_TEXT_ENDPOINT_H_
