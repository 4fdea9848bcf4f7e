#ifndef BRIARLEAD_APP_OPERATOR_CLIENT_H_
#define BRIARLEAD_APP_OPERATOR_CLIENT_H_

#include <string>
#include <string_view>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/error.h"
#include "briarlead_http/briarlead_http.h"

namespace briarlead {

/// Reads "ADDRESS:PORT[,ADDRESS:PORT...]". Error: kInvalidArgument.
Result<std::vector<Endpoint>> ReadEndpointList(std::string_view text);

/// Reads the operator's bearer key from a file; white space around it is
/// dropped. Errors: as of ReadWholeFile(), kInvalidArgument when it is empty.
Result<std::string> ReadKeyFile(const std::string& path);

/// Asks hosts over HTTP and waits for the answer; for commands, which have
/// nothing else to do meanwhile.
class OperatorClient {
 public:
  /// @param key the operator's bearer key
  explicit OperatorClient(std::string key) : key_(std::move(key)) {}

  /// Sends one request to `endpoint`. Errors: kUnavailable.
  Result<HttpResponse> Ask(const Endpoint& endpoint,
                           std::string_view method,
                           std::string_view path,
                           std::string_view body = {});

 private:
  std::string key_;
  HttpClient http_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_APP_OPERATOR_CLIENT_H_
