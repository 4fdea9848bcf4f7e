#include "briarlead_settings/settings_fields.h"

#include <fmt/format.h>
#include <gio/gio.h>

#include <algorithm>
#include <array>
#include <cstdint>

namespace briarlead {

namespace {

constexpr IntegerRange kPortRange = {1, 65535};
constexpr std::size_t kMaxAddressBytes = 45;
constexpr std::size_t kMinFrameKeyBytes = 32;
constexpr std::size_t kMaxFrameKeyBytes = 256;
constexpr std::size_t kDigestHexDigits = 64;
constexpr std::array<std::string_view, 4> kLogLevelNames = {"debug", "info",
                                                            "warning", "error"};
constexpr std::array<LogLevel, 4> kLogLevels = {
    LogLevel::kDebug, LogLevel::kInfo, LogLevel::kWarning, LogLevel::kError};

/// Returns the value of a lower-case hexadecimal digit, or -1 if `digit` is
/// none.
int HexDigitValue(char digit) {
  if (digit >= '0' && digit <= '9')
    return digit - '0';
  if (digit >= 'a' && digit <= 'f')
    return digit - 'a' + 10;
  return -1;
}

bool IsLowerHex(std::string_view text) {
  return std::ranges::all_of(
      text, [](char digit) { return HexDigitValue(digit) >= 0; });
}

/// Decodes pairs of lower-case hexadecimal digits.
std::string DecodeHex(std::string_view hex) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
    const int byte = HexDigitValue(hex[i]) * 16 + HexDigitValue(hex[i + 1]);
    bytes += static_cast<char>(byte);
  }
  return bytes;
}

}  // namespace

Endpoint ReadEndpoint(JsonObjectReader& reader) {
  Endpoint endpoint;
  endpoint.address = reader.String("address", {1, kMaxAddressBytes});
  if (!endpoint.address.empty() &&
      g_hostname_is_ip_address(endpoint.address.c_str()) == FALSE) {
    reader.AddFinding("address", "expected an IP address such as 10.0.0.1");
  }
  endpoint.port =
      static_cast<std::uint16_t>(reader.Integer("port", kPortRange));
  return endpoint;
}

Endpoint ReadEndpoint(JsonObjectReader& reader,
                      std::string_view key,
                      Findings& findings) {
  const JsonValue* value = reader.Object(key);
  if (value == nullptr)
    return {};
  JsonObjectReader endpoint_reader(*value, reader.PlaceOf(key), findings);
  Endpoint endpoint = ReadEndpoint(endpoint_reader);
  endpoint_reader.ReportUnknownKeys();
  return endpoint;
}

std::vector<Endpoint> ReadEndpoints(JsonObjectReader& reader,
                                    std::string_view key,
                                    SizeRange count,
                                    Findings& findings) {
  std::vector<Endpoint> endpoints;
  std::size_t index = 0;
  for (const JsonValue& item : reader.Array(key, count)) {
    const JsonPlace place = reader.PlaceOf(key).Item(index++);
    JsonObjectReader endpoint_reader(item, place, findings);
    Endpoint endpoint = ReadEndpoint(endpoint_reader);
    endpoint_reader.ReportUnknownKeys();
    if (std::ranges::find(endpoints, endpoint) != endpoints.end())
      endpoint_reader.AddFinding("this endpoint is already in the array");
    endpoints.push_back(std::move(endpoint));
  }
  return endpoints;
}

std::string ReadFrameKey(JsonObjectReader& reader) {
  const std::string hex = reader.String(
      "frame_key", {2 * kMinFrameKeyBytes, 2 * kMaxFrameKeyBytes});
  if (!IsLowerHex(hex) || hex.size() % 2 != 0) {
    reader.AddFinding("frame_key",
                      "expected lower-case hexadecimal digits, two per byte");
    return {};
  }
  return DecodeHex(hex);
}

std::string ReadOperatorKeyDigest(JsonObjectReader& reader) {
  std::string digest = reader.String("operator_key_sha256",
                                     {kDigestHexDigits, kDigestHexDigits});
  if (!IsLowerHex(digest)) {
    reader.AddFinding("operator_key_sha256",
                      "expected 64 lower-case hexadecimal digits: the SHA-256 "
                      "of the operators' key");
  }
  return digest;
}

LogLevel ReadLogLevel(JsonObjectReader& reader) {
  if (!reader.Has("log_level"))
    return LogLevel::kInfo;
  const auto choice = reader.Choice("log_level", kLogLevelNames);
  return choice ? kLogLevels[*choice] : LogLevel::kInfo;
}

}  // namespace briarlead
