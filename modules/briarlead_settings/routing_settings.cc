#include "briarlead_settings/routing_settings.h"

#include <algorithm>
#include <charconv>

#include "briarlead_json/briarlead_json.h"
#include "briarlead_settings/settings_fields.h"

namespace briarlead {

namespace {

constexpr std::size_t kMaxTextBytes = 4096;
constexpr std::int64_t kMaxPort = 65535;
constexpr std::int64_t kMaxHostFailures = 10;
constexpr double kMaxRetrySlack = 1e6;
constexpr std::int64_t kMaxTimeoutMs = 600'000;
constexpr double kMaxQuotaExcess = 10;
constexpr double kMaxQuotaSlack = 1e12;
constexpr double kMaxCores = 1024;
constexpr double kMaxLinkMbps = 1e7;
constexpr std::int64_t kMaxMemoryMb = 16'777'216;
constexpr std::int64_t kMaxDescriptors = 100'000'000;

/// Reads an endpoint written as "address:port". Returns an endpoint with port 0
/// if the key is missing or its text is empty.
Endpoint ReadEndpointText(JsonObjectReader& reader, std::string_view key) {
  if (!reader.Has(key))
    return {};
  const std::string text = reader.String(key, {0, kMaxTextBytes});
  if (text.empty())
    return {};
  const std::size_t colon = text.rfind(':');
  Endpoint endpoint;
  if (colon != std::string::npos) {
    endpoint.address = text.substr(0, colon);
    std::from_chars(text.data() + colon + 1, text.data() + text.size(),
                    endpoint.port);
  }
  if (endpoint.address.empty() || endpoint.port == 0)
    reader.AddFinding(key, "expected a string such as \"10.0.0.1:7000\"");
  return endpoint;
}

/// Reads "seeds", an array of texts such as "10.0.0.1:7000".
std::vector<Endpoint> ReadSeeds(JsonObjectReader& reader) {
  std::vector<Endpoint> seeds;
  for (const JsonValue& item : reader.Array("seeds", {0, kMaxEndpoints})) {
    const std::string* text = item.AsString();
    const std::size_t colon =
        text == nullptr ? std::string::npos : text->rfind(':');
    if (colon == std::string::npos) {
      reader.AddFinding("seeds", "expected strings such as \"10.0.0.1:7000\"");
      continue;
    }
    Endpoint seed;
    seed.address = text->substr(0, colon);
    std::from_chars(text->data() + colon + 1, text->data() + text->size(),
                    seed.port);
    seeds.push_back(std::move(seed));
  }
  return seeds;
}

/// Reads what a client account's keys and quotas are bound by.
void ReadAccountBounds(JsonObjectReader& reader, RoutingSettings& settings) {
  settings.strict_revocation = reader.BooleanOr("strict_revocation", false);
  settings.revocation_time = reader.MillisecondsOr(
      "revocation_ms", settings.revocation_time, {1, kMaxTimeoutMs});
  settings.quota_window = reader.MillisecondsOr(
      "quota_window_ms", settings.quota_window, {1, kMaxTimeoutMs});
  settings.quota_excess =
      reader.NumberOr("quota_excess", 0, {0, kMaxQuotaExcess});
  settings.quota_slack = reader.NumberOr("quota_slack", 0, {0, kMaxQuotaSlack});
}

/// Reads what the host has; zero where the settings don't tell.
void ReadResources(JsonObjectReader& reader, RoutingSettings& settings) {
  settings.cpu_share = reader.NumberOr("cpu_share", 0, {0, kMaxCores});
  settings.memory_mb = static_cast<std::uint32_t>(
      reader.IntegerOr("memory_mb", 0, {0, kMaxMemoryMb}));
  settings.link_mbps = reader.NumberOr("link_mbps", 0, {0, kMaxLinkMbps});
  settings.max_descriptors = static_cast<std::uint32_t>(
      reader.IntegerOr("max_descriptors", 0, {0, kMaxDescriptors}));
}

}  // namespace

std::optional<RoutingSettings> ParseRoutingSettings(std::string_view file,
                                                    std::string_view text,
                                                    Findings& findings) {
  const std::optional<JsonValue> json = ParseJson(file, text, {}, findings);
  if (!json.has_value())
    return std::nullopt;
  JsonObjectReader reader(*json, {std::string(file), ""}, findings);
  RoutingSettings settings;
  settings.name = reader.Name("name");
  settings.address = reader.Name("address");
  settings.data_centre = DataCentreId(reader.Name("data_centre"));
  settings.control_peer_port = static_cast<std::uint16_t>(
      reader.Integer("control_peer_port", {1, kMaxPort}));
  settings.entry_peer_port = static_cast<std::uint16_t>(
      reader.Integer("entry_peer_port", {1, kMaxPort}));
  settings.relay_port = static_cast<std::uint16_t>(reader.IntegerOr(
      "relay_port", std::max(settings.entry_peer_port - 1, 1), {1, kMaxPort}));
  settings.seeds = ReadSeeds(reader);
  settings.first_start = reader.BooleanOr("first_start", false);
  const std::int64_t max_failures =
      reader.IntegerOr("lost_hosts_borne", 0, {0, kMaxHostFailures});
  // Of 2n + 1 voters, a majority remains after the loss of n.
  settings.min_voters = static_cast<std::size_t>(2 * max_failures + 1);
  if (reader.Has("data_folder"))
    settings.data_folder = reader.String("data_folder", {0, kMaxTextBytes});
  settings.callers = ReadEndpointText(reader, "callers");
  settings.ready = ReadEndpointText(reader, "ready");
  settings.control = ReadEndpointText(reader, "control");
  settings.metrics = ReadEndpointText(reader, "metrics");
  settings.retry_ratio = reader.NumberOr("retry_ratio", 0.2, {0, 1});
  settings.retry_slack =
      reader.NumberOr("retry_slack", 10, {0, kMaxRetrySlack});
  settings.retry_window = reader.MillisecondsOr(
      "retry_window_ms", settings.retry_window, {1, kMaxTimeoutMs});
  settings.stop_timeout = reader.MillisecondsOr(
      "stop_timeout_ms", settings.stop_timeout, {1, kMaxTimeoutMs});
  ReadAccountBounds(reader, settings);
  ReadResources(reader, settings);
  settings.frame_key = ReadFrameKey(reader);
  settings.log_level = ReadLogLevel(reader);
  reader.ReportUnknownKeys();
  if (!findings.empty())
    return std::nullopt;
  return settings;
}

}  // namespace briarlead
