#include "briarlead_entry/announcement_reader.h"

#include <array>
#include <limits>
#include <optional>
#include <utility>

#include "briarlead_core/findings.h"
#include "briarlead_json/briarlead_json.h"

namespace briarlead {

namespace {

constexpr std::string_view kDocumentName = "announcement";
constexpr std::array<std::string_view, 3> kRoleNames = {"prefill", "decode",
                                                        "service"};
constexpr std::array<std::string_view, 2> kStateNames = {"serving", "leaving"};
constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t kMaxSlots = 1 << 16;

std::uint64_t ReadCount(JsonObjectReader& reader, std::string_view key) {
  return static_cast<std::uint64_t>(reader.IntegerOr(key, 0, {0, kMaxInteger}));
}

LoadReport ReadLoad(const JsonValue& value, JsonPlace place, Findings& found) {
  JsonObjectReader reader(value, std::move(place), found);
  LoadReport load;
  load.running = static_cast<std::uint32_t>(ReadCount(reader, "running"));
  load.waiting = static_cast<std::uint32_t>(ReadCount(reader, "waiting"));
  load.kv_used_bytes = ReadCount(reader, "kv_used_bytes");
  return load;
}

std::optional<HeldRequest> ReadHeld(const JsonValue& value,
                                    JsonPlace place,
                                    Findings& found) {
  JsonObjectReader reader(value, std::move(place), found);
  const std::string text = reader.String("request", {1, 256});
  const std::optional<RequestId> request = ParseRequestId(text);
  const std::int64_t attempt =
      reader.Integer("attempt", {0, std::numeric_limits<std::uint32_t>::max()});
  // Requests that did not come through briarlead have other names.
  if (!request.has_value())
    return std::nullopt;
  return HeldRequest{*request, static_cast<std::uint32_t>(attempt)};
}

void ReadRole(JsonObjectReader& reader, BackendServerRecord& server) {
  const std::optional<std::size_t> role = reader.Choice("role", kRoleNames);
  server.role = static_cast<BackendServerRole>(role.value_or(0));
  if (server.role == BackendServerRole::kService)
    server.service = ServiceId(reader.Name("service"));
  else
    server.model = ModelId(reader.Name("model"));
}

BackendServerRecord ReadServer(JsonObjectReader& reader) {
  BackendServerRecord server;
  server.id = BackendServerId(reader.Name("id"));
  server.data_centre = DataCentreId(reader.Name("data_centre"));
  ReadRole(reader, server);
  server.address.address = reader.String("address", {1, 64});
  server.address.port =
      static_cast<std::uint16_t>(reader.Integer("port", {1, 65535}));
  server.incarnation = static_cast<std::uint64_t>(
      reader.Integer("incarnation", {0, kMaxInteger}));
  const std::optional<std::size_t> state = reader.Choice("state", kStateNames);
  server.state = static_cast<BackendServerState>(state.value_or(0));
  server.slots =
      static_cast<std::uint32_t>(reader.IntegerOr("slots", 1, {1, kMaxSlots}));
  server.kv_capacity_bytes = ReadCount(reader, "kv_capacity_bytes");
  server.link_bytes_per_second = ReadCount(reader, "link_bytes_per_second");
  server.checks_fencing = reader.BooleanOr("checks_fencing", false);
  return server;
}

}  // namespace

Result<Announcement> ReadAnnouncement(std::string_view body) {
  JsonLimits limits;
  limits.max_bytes = kMaxAnnouncementBytes;
  limits.allow_comments = false;
  Findings found;
  const std::optional<JsonValue> document =
      ParseJson(kDocumentName, body, limits, found);
  if (!document.has_value())
    return Fail(ErrorCode::kInvalidArgument, found.Format());
  JsonObjectReader reader(*document, JsonPlace{std::string(kDocumentName), ""},
                          found);
  Announcement announcement;
  announcement.server = ReadServer(reader);
  if (const JsonValue* load = reader.ObjectOr("load"))
    announcement.server.load = ReadLoad(*load, reader.PlaceOf("load"), found);
  const JsonPlace held_place = reader.PlaceOf("held");
  std::size_t index = 0;
  for (const JsonValue& it : reader.ArrayOr("held", {0, kMaxHeldRequests})) {
    const auto held = ReadHeld(it, held_place.Item(index++), found);
    if (held.has_value())
      announcement.held.push_back(*held);
  }
  // Keys that are not known are let pass: backend servers may be newer.
  if (!found.empty())
    return Fail(ErrorCode::kInvalidArgument, found.Format());
  return announcement;
}

}  // namespace briarlead
