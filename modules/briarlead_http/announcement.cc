#include "briarlead_http/announcement.h"

#include <array>
#include <limits>
#include <nlohmann/json.hpp>

#include "briarlead_http/json_access.h"

namespace briarlead {

namespace {

constexpr std::size_t kMaxHeld = 100'000;

struct RoleName {
  BackendServerRole role;
  std::string_view name;
};
constexpr std::array<RoleName, 3> kRoleNames = {{
    {BackendServerRole::kPrefill, "prefill"},
    {BackendServerRole::kDecode, "decode"},
    {BackendServerRole::kService, "service"},
}};

auto FailMember(std::string_view name, std::string_view expected) {
  return Fail(ErrorCode::kInvalidArgument,
              std::string(name) + ": expected " + std::string(expected));
}

std::string_view NameOf(BackendServerRole role) {
  for (const RoleName& it : kRoleNames) {
    if (it.role == role)
      return it.name;
  }
  return "";
}

Result<BackendServerRole> ReadRole(const nlohmann::json& json) {
  const std::string name = StringMember(json, "role").value_or("");
  for (const RoleName& it : kRoleNames) {
    if (it.name == name)
      return it.role;
  }
  return FailMember("role", "\"prefill\", \"decode\" or \"service\"");
}

Result<std::string> ReadName(const nlohmann::json& json,
                             std::string_view member) {
  auto name = StringMember(json, member);
  if (!name || name->empty())
    return FailMember(member, "a name");
  return std::move(*name);
}

std::uint64_t ReadNumber(const nlohmann::json& json, std::string_view member) {
  return UnsignedMember(json, member).value_or(0);
}

std::uint32_t Narrow(std::uint64_t value) {
  constexpr std::uint64_t max = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(value < max ? value : max);
}

nlohmann::json ToJson(const HeldAttempt& held) {
  return {{"request", ToString(held.request)}, {"attempt", held.attempt}};
}

Result<HeldAttempt> ReadHeld(const nlohmann::json& json) {
  if (!json.is_object())
    return FailMember("held", "objects");
  const auto request =
      ParseRequestId(StringMember(json, "request").value_or(""));
  if (!request)
    return FailMember("request", "host.incarnation.sequence");
  return HeldAttempt{*request, Narrow(ReadNumber(json, "attempt"))};
}

Result<BackendServerRecord> ReadRecord(const nlohmann::json& json) {
  BackendServerRecord record;
  BOOST_OUTCOME_TRY(std::string id, ReadName(json, "id"));
  BOOST_OUTCOME_TRY(std::string data_centre, ReadName(json, "data_centre"));
  BOOST_OUTCOME_TRY(record.role, ReadRole(json));
  const bool service = record.role == BackendServerRole::kService;
  BOOST_OUTCOME_TRY(std::string name,
                    ReadName(json, service ? "service" : "model"));
  BOOST_OUTCOME_TRY(record.address.address, ReadName(json, "address"));
  const std::uint64_t port = ReadNumber(json, "port");
  if (port == 0 || port > std::numeric_limits<std::uint16_t>::max())
    return FailMember("port", "a port number");
  record.id = BackendServerId(std::move(id));
  record.data_centre = DataCentreId(std::move(data_centre));
  if (service)
    record.service = ServiceId(std::move(name));
  else
    record.model = ModelId(std::move(name));
  record.address.port = static_cast<std::uint16_t>(port);
  return record;
}

Result<BackendServerState> ReadState(const nlohmann::json& json) {
  const std::string state = StringMember(json, "state").value_or("");
  if (state == "serving")
    return BackendServerState::kServing;
  if (state == "leaving")
    return BackendServerState::kLeaving;
  return FailMember("state", "\"serving\" or \"leaving\"");
}

}  // namespace

std::string WriteAnnouncement(const Announcement& announcement) {
  const BackendServerRecord& record = announcement.record;
  const bool service = record.role == BackendServerRole::kService;
  nlohmann::json json = {
      {"id", record.id.value()},
      {"data_centre", record.data_centre.value()},
      {"role", NameOf(record.role)},
      {"address", record.address.address},
      {"port", record.address.port},
      {"incarnation", record.incarnation},
      {"sequence", announcement.sequence},
      {"state",
       record.state == BackendServerState::kLeaving ? "leaving" : "serving"},
      {"slots", record.slots},
      {"kv_capacity_bytes", record.kv_capacity_bytes},
      {"link_bytes_per_second", record.link_bytes_per_second},
      {"checks_fencing", record.checks_fencing},
      {"load",
       {{"running", record.load.running},
        {"waiting", record.load.waiting},
        {"kv_used_bytes", record.load.kv_used_bytes}}},
  };
  json[service ? "service" : "model"] =
      service ? record.service.value() : record.model.value();
  json["held"] = nlohmann::json::array();
  for (const HeldAttempt& it : announcement.held)
    json["held"].push_back(ToJson(it));
  return DumpJson(json);
}

Result<Announcement> ParseAnnouncement(std::string_view body) {
  BOOST_OUTCOME_TRY(const nlohmann::json json, ParseJsonObject(body));
  Announcement announcement;
  BOOST_OUTCOME_TRY(announcement.record, ReadRecord(json));
  BackendServerRecord& record = announcement.record;
  BOOST_OUTCOME_TRY(record.state, ReadState(json));
  record.incarnation = ReadNumber(json, "incarnation");
  announcement.sequence = ReadNumber(json, "sequence");
  if (announcement.sequence == 0)
    return FailMember("sequence", "a number that grows, at least 1");
  record.slots = Narrow(ReadNumber(json, "slots"));
  record.kv_capacity_bytes = ReadNumber(json, "kv_capacity_bytes");
  record.link_bytes_per_second = ReadNumber(json, "link_bytes_per_second");
  record.checks_fencing = BoolMember(json, "checks_fencing").value_or(false);
  const nlohmann::json* load = FindMember(json, "load");
  if (load != nullptr && load->is_object()) {
    record.load = {.running = Narrow(ReadNumber(*load, "running")),
                   .waiting = Narrow(ReadNumber(*load, "waiting")),
                   .kv_used_bytes = ReadNumber(*load, "kv_used_bytes")};
  }
  const nlohmann::json* held = FindMember(json, "held");
  if (held == nullptr)
    return announcement;
  if (!held->is_array() || held->size() > kMaxHeld)
    return FailMember("held", "an array of at most 100000 objects");
  for (const nlohmann::json& it : *held) {
    BOOST_OUTCOME_TRY(HeldAttempt attempt, ReadHeld(it));
    announcement.held.push_back(std::move(attempt));
  }
  return announcement;
}

std::string WriteCancel(const HeldAttempt& attempt) {
  return DumpJson(ToJson(attempt));
}

Result<HeldAttempt> ParseCancel(std::string_view body) {
  BOOST_OUTCOME_TRY(const nlohmann::json json, ParseJsonObject(body));
  return ReadHeld(json);
}

}  // namespace briarlead
