#include "briarlead_settings/entry_settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "briarlead_json/briarlead_json.h"
#include "briarlead_settings/settings_fields.h"

namespace briarlead {

namespace {

constexpr std::size_t kMaxServices = 256;
constexpr std::size_t kMaxModels = 256;
constexpr std::size_t kMaxRoutes = 256;
constexpr std::size_t kMaxPathBytes = 256;
constexpr SizeRange kServerKeyBytesRange = {16, 256};
constexpr IntegerRange kTimeoutMsRange = {1, 3'600'000};
constexpr IntegerRange kTokenRange = {1, 16'777'216};
constexpr IntegerRange kKvBytesRange = {1, 67'108'864};
constexpr IntegerRange kBodyBytesRange = {1024, 67'108'864};
constexpr IntegerRange kConnectionRange = {1, 100'000};
constexpr std::array<std::string_view, 6> kMethods = {
    "GET", "HEAD", "PUT", "POST", "PATCH", "DELETE"};
constexpr std::int64_t kMaxEntryHosts = 100'000;
/// Paths that briarlead serves itself; no service may overlap with them.
constexpr std::array<std::string_view, 6> kReservedPaths = {
    "/v1", "/healthz", "/readyz", "/metrics", "/backend-servers", "/operator"};

/// Returns whether `text` is an absolute path of printable ASCII characters
/// without a query or fragment.
bool IsPath(std::string_view text) {
  if (!text.starts_with('/') || text.size() > kMaxPathBytes)
    return false;
  return std::ranges::all_of(text, [](char character) {
    return character > ' ' && character < 0x7f && character != '?' &&
           character != '#';
  });
}

/// Returns whether `path` is `prefix` or a path below it.
bool IsUnderPrefix(std::string_view path, std::string_view prefix) {
  return path.starts_with(prefix) &&
         (path.size() == prefix.size() || path[prefix.size()] == '/');
}

/// Parses a text such as "GET /stock"; returns nullopt if `text` is malformed.
std::optional<RepeatableRoute> ParseRoute(std::string_view text) {
  const std::size_t space = text.find(' ');
  if (space == std::string_view::npos)
    return std::nullopt;
  const std::string_view method = text.substr(0, space);
  const std::string_view path = text.substr(space + 1);
  if (std::ranges::find(kMethods, method) == kMethods.end() || !IsPath(path))
    return std::nullopt;
  return RepeatableRoute{std::string(method), std::string(path)};
}

std::vector<RepeatableRoute> ReadRoutes(JsonObjectReader& reader,
                                        Findings& findings) {
  std::vector<RepeatableRoute> routes;
  std::size_t index = 0;
  for (const JsonValue& item : reader.ArrayOr("repeatable", {0, kMaxRoutes})) {
    const JsonPlace place = reader.PlaceOf("repeatable").Item(index++);
    const std::string* text = item.AsString();
    auto route = text == nullptr ? std::nullopt : ParseRoute(*text);
    if (route) {
      routes.push_back(std::move(*route));
      continue;
    }
    findings.Add(place.file, place.path,
                 fmt::format("expected a string such as \"GET /stock\", with "
                             "one of {}",
                             fmt::join(kMethods, ", ")));
  }
  return routes;
}

std::string ReadPathPrefix(JsonObjectReader& reader) {
  std::string prefix = reader.String("path_prefix", {2, kMaxPathBytes});
  if (prefix.empty())
    return prefix;
  if (!IsPath(prefix) || prefix.ends_with('/')) {
    reader.AddFinding("path_prefix",
                      "expected a path such as \"/visit-desk\", without a "
                      "trailing slash");
    return {};
  }
  for (const std::string_view reserved : kReservedPaths) {
    if (IsUnderPrefix(prefix, reserved) || IsUnderPrefix(reserved, prefix)) {
      reader.AddFinding(
          "path_prefix",
          fmt::format("\"{}\" is answered by briarlead", reserved));
      return {};
    }
  }
  return prefix;
}

ServiceSettings ReadService(JsonObjectReader& reader, Findings& findings) {
  ServiceSettings service;
  service.service = ServiceId(reader.Name("service"));
  service.path_prefix = ReadPathPrefix(reader);
  service.repeatable = ReadRoutes(reader, findings);
  service.answer_timeout = reader.MillisecondsOr(
      "answer_timeout_ms", service.answer_timeout, kTimeoutMsRange);
  reader.ReportUnknownKeys();
  return service;
}

/// Adds a finding for each of `others` that has the name of `service` or an
/// overlapping path prefix.
void CheckServiceIsUnique(const ServiceSettings& service,
                          const std::vector<ServiceSettings>& others,
                          JsonObjectReader& reader) {
  for (const ServiceSettings& other : others) {
    if (!service.service.empty() && other.service == service.service)
      reader.AddFinding("service", "this service is already in the array");
    if (service.path_prefix.empty() || other.path_prefix.empty())
      continue;
    if (IsUnderPrefix(service.path_prefix, other.path_prefix) ||
        IsUnderPrefix(other.path_prefix, service.path_prefix)) {
      reader.AddFinding("path_prefix",
                        fmt::format("overlaps with the prefix \"{}\" of "
                                    "service \"{}\"",
                                    other.path_prefix, other.service.value()));
    }
  }
}

std::vector<ServiceSettings> ReadServices(JsonObjectReader& reader,
                                          Findings& findings) {
  std::vector<ServiceSettings> services;
  for (const JsonValue& item : reader.ArrayOr("services", {0, kMaxServices})) {
    const JsonPlace place = reader.PlaceOf("services").Item(services.size());
    JsonObjectReader service_reader(item, place, findings);
    ServiceSettings service = ReadService(service_reader, findings);
    CheckServiceIsUnique(service, services, service_reader);
    services.push_back(std::move(service));
  }
  return services;
}

ModelSettings ReadModel(JsonObjectReader& reader) {
  ModelSettings model;
  model.model = ModelId(reader.Name("model"));
  model.max_prompt_tokens = static_cast<std::uint32_t>(reader.IntegerOr(
      "max_prompt_tokens", model.max_prompt_tokens, kTokenRange));
  model.max_output_tokens = static_cast<std::uint32_t>(reader.IntegerOr(
      "max_output_tokens", model.max_output_tokens, kTokenRange));
  model.kv_bytes_per_token = static_cast<std::uint64_t>(reader.IntegerOr(
      "kv_bytes_per_token", static_cast<std::int64_t>(model.kv_bytes_per_token),
      kKvBytesRange));
  reader.ReportUnknownKeys();
  return model;
}

std::vector<ModelSettings> ReadModels(JsonObjectReader& reader,
                                      Findings& findings) {
  std::vector<ModelSettings> models;
  for (const JsonValue& item : reader.ArrayOr("models", {0, kMaxModels})) {
    const JsonPlace place = reader.PlaceOf("models").Item(models.size());
    JsonObjectReader model_reader(item, place, findings);
    ModelSettings model = ReadModel(model_reader);
    if (!model.model.empty() &&
        std::ranges::find(models, model.model, &ModelSettings::model) !=
            models.end()) {
      model_reader.AddFinding("model", "this model is already in the array");
    }
    models.push_back(std::move(model));
  }
  return models;
}

CallerLimits ReadLimits(JsonObjectReader& reader, Findings& findings) {
  CallerLimits limits;
  const JsonValue* value = reader.ObjectOr("limits");
  if (value == nullptr)
    return limits;
  JsonObjectReader limits_reader(*value, reader.PlaceOf("limits"), findings);
  limits.max_body_bytes = static_cast<std::size_t>(limits_reader.IntegerOr(
      "max_body_bytes", static_cast<std::int64_t>(limits.max_body_bytes),
      kBodyBytesRange));
  limits.max_connections = static_cast<std::uint32_t>(limits_reader.IntegerOr(
      "max_connections", limits.max_connections, kConnectionRange));
  limits.header_timeout = limits_reader.MillisecondsOr(
      "header_timeout_ms", limits.header_timeout, kTimeoutMsRange);
  limits_reader.ReportUnknownKeys();
  return limits;
}

EntrySettings ReadEntrySettings(JsonObjectReader& reader, Findings& findings) {
  EntrySettings settings;
  settings.host = HostId(reader.Name("host"));
  settings.data_centre = DataCentreId(reader.Name("data_centre"));
  settings.callers = ReadEndpoint(reader, "callers", findings);
  settings.peers = ReadEndpoint(reader, "peers", findings);
  settings.peers_seeds =
      ReadEndpoints(reader, "peers_seeds", {0, kMaxEndpoints}, findings);
  settings.controls =
      ReadEndpoints(reader, "controls", {1, kMaxEndpoints}, findings);
  settings.entry_hosts = static_cast<std::uint32_t>(
      reader.Integer("entry_hosts", {1, kMaxEntryHosts}));
  settings.frame_key = ReadFrameKey(reader);
  settings.backend_server_key =
      reader.String("backend_server_key", kServerKeyBytesRange);
  settings.operator_key_sha256 = ReadOperatorKeyDigest(reader);
  settings.services = ReadServices(reader, findings);
  settings.models = ReadModels(reader, findings);
  settings.limits = ReadLimits(reader, findings);
  settings.log_level = ReadLogLevel(reader);
  reader.ReportUnknownKeys();
  if (settings.callers == settings.peers && settings.callers.port != 0)
    reader.AddFinding("peers", "is the same endpoint as \"callers\"");
  return settings;
}

}  // namespace

bool ServiceSettings::IsRepeatable(std::string_view method,
                                   std::string_view path) const {
  return std::ranges::any_of(repeatable, [&](const RepeatableRoute& route) {
    return route.method == method && route.path == path;
  });
}

const ModelSettings* EntrySettings::Find(const ModelId& model) const {
  const auto it = std::ranges::find(models, model, &ModelSettings::model);
  return it == models.end() ? nullptr : &*it;
}

const ServiceSettings* EntrySettings::FindByPath(std::string_view path) const {
  for (const ServiceSettings& service : services) {
    if (IsUnderPrefix(path, service.path_prefix))
      return &service;
  }
  return nullptr;
}

std::optional<EntrySettings> ParseEntrySettings(std::string_view file,
                                                std::string_view text,
                                                Findings& findings) {
  Findings own_findings;
  const JsonLimits limits = {.max_bytes = kMaxSettingsBytes};
  const auto document = ParseJson(file, text, limits, own_findings);
  EntrySettings settings;
  if (document) {
    JsonObjectReader reader(*document, {std::string(file), ""}, own_findings);
    settings = ReadEntrySettings(reader, own_findings);
  }
  findings.Append(own_findings);
  if (!own_findings.empty())
    return std::nullopt;
  return settings;
}

}  // namespace briarlead
