#include "briarlead/operator_client.h"

#include <glib.h>

#include <charconv>
#include <memory>
#include <optional>

#include "briarlead/settings_file.h"

namespace briarlead {

namespace {

constexpr std::size_t kMaxKeyFileBytes = 4096;
constexpr Duration kAnswerTimeout = std::chrono::seconds(6);
constexpr std::string_view kWhiteSpace = " \t\r\n";

Result<Endpoint> ReadEndpointText(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  Endpoint endpoint;
  if (colon == std::string_view::npos)
    return Fail(ErrorCode::kInvalidArgument,
                "expected ADDRESS:PORT, found " + std::string(text));
  endpoint.address = text.substr(0, colon);
  const std::string_view port = text.substr(colon + 1);
  const auto [end, ec] =
      std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
  if (ec != std::errc() || end != port.data() + port.size() ||
      endpoint.port == 0) {
    return Fail(ErrorCode::kInvalidArgument,
                "expected a port number, found " + std::string(port));
  }
  return endpoint;
}

}  // namespace

Result<std::vector<Endpoint>> ReadEndpointList(std::string_view text) {
  std::vector<Endpoint> endpoints;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    BOOST_OUTCOME_TRY(Endpoint endpoint,
                      ReadEndpointText(text.substr(0, comma)));
    endpoints.push_back(std::move(endpoint));
    text.remove_prefix(comma == std::string_view::npos ? text.size()
                                                       : comma + 1);
  }
  if (endpoints.empty())
    return Fail(ErrorCode::kInvalidArgument, "expected ADDRESS:PORT");
  return endpoints;
}

Result<std::string> ReadKeyFile(const std::string& path) {
  BOOST_OUTCOME_TRY(const std::string text,
                    ReadWholeFile(path, kMaxKeyFileBytes));
  const std::size_t first = text.find_first_not_of(kWhiteSpace);
  if (first == std::string::npos)
    return Fail(ErrorCode::kInvalidArgument, path + ": holds no key");
  const std::size_t last = text.find_last_not_of(kWhiteSpace);
  return text.substr(first, last - first + 1);
}

Result<HttpResponse> OperatorClient::Ask(const Endpoint& endpoint,
                                         std::string_view method,
                                         std::string_view path,
                                         std::string_view body) {
  HttpRequest request;
  request.endpoint = endpoint;
  request.method = method;
  request.path = path;
  request.body = body;
  request.headers = {{"Authorization", "Bearer " + key_},
                     {"Content-Type", "application/json"}};
  request.first_byte_timeout = kAnswerTimeout;
  request.new_connection = true;
  HttpResponse response;
  std::optional<HttpCallEnd> end;
  HttpCallHandler handler;
  handler.on_head = [&](int status, const HeaderFields& headers) {
    response.status = status;
    response.headers = headers;
  };
  handler.on_data = [&](std::string_view data) { response.body += data; };
  handler.on_done = [&](const HttpCallEnd& it) { end = it; };
  const std::unique_ptr<HttpCall> call =
      http_.Send(std::move(request), std::move(handler));
  while (!end.has_value())
    g_main_context_iteration(nullptr, TRUE);
  if (!end->ok())
    return Fail(ErrorCode::kUnavailable,
                ToString(endpoint) + ": " + end->error->message);
  return response;
}

}  // namespace briarlead
