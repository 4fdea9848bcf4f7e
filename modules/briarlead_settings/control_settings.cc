#include "briarlead_settings/control_settings.h"

#include <algorithm>

#include "briarlead_json/briarlead_json.h"
#include "briarlead_settings/settings_fields.h"

namespace briarlead {

namespace {

constexpr std::size_t kMaxPathBytes = 4096;
constexpr std::size_t kMaxMembers = 21;
constexpr std::size_t kMaxDataCentres = 1000;

MemberSettings ReadMember(JsonObjectReader& reader, Findings& findings) {
  MemberSettings member;
  member.host = HostId(reader.Name("host"));
  member.peers = ReadEndpoint(reader, "peers", findings);
  reader.ReportUnknownKeys();
  return member;
}

/// Adds a finding when `member` shares its host or endpoint with one of
/// `others`.
void CheckMemberIsNew(const MemberSettings& member,
                      const std::vector<MemberSettings>& others,
                      JsonObjectReader& reader) {
  for (const MemberSettings& it : others) {
    if (!member.host.empty() && it.host == member.host)
      reader.AddFinding("host", "this host already stands in the array");
    if (!member.peers.address.empty() && it.peers == member.peers)
      reader.AddFinding("peers", "this endpoint already stands in the array");
  }
}

std::vector<MemberSettings> ReadMembers(JsonObjectReader& reader,
                                        Findings& findings) {
  std::vector<MemberSettings> members;
  for (const JsonValue& it : reader.Array("members", {1, kMaxMembers})) {
    const JsonPlace place = reader.PlaceOf("members").Item(members.size());
    JsonObjectReader member_reader(it, place, findings);
    MemberSettings member = ReadMember(member_reader, findings);
    CheckMemberIsNew(member, members, member_reader);
    members.push_back(std::move(member));
  }
  return members;
}

std::vector<DataCentreId> ReadDataCentres(JsonObjectReader& reader) {
  std::vector<DataCentreId> data_centres;
  for (const JsonValue& it :
       reader.Array("data_centres", {1, kMaxDataCentres})) {
    const std::string* name = it.AsString();
    if (name == nullptr || !IsName(*name)) {
      reader.AddFinding("data_centres", "expected names of data centres");
      continue;
    }
    data_centres.emplace_back(*name);
  }
  return data_centres;
}

/// A host in the initial set must stand there under its own endpoint.
void CheckOwnMember(const ControlSettings& settings, JsonObjectReader& reader) {
  const auto it =
      std::ranges::find(settings.members, settings.host, &MemberSettings::host);
  if (it == settings.members.end() || settings.host.empty())
    return;
  if (it->peers != settings.peers) {
    reader.AddFinding("members", "host \"" + settings.host.value() +
                                     "\" stands there with another endpoint "
                                     "than \"peers\"");
  }
}

}  // namespace

std::optional<ControlSettings> ParseControlSettings(std::string_view file,
                                                    std::string_view text,
                                                    Findings& findings) {
  Findings found;
  const JsonLimits limits = {.max_bytes = kMaxSettingsBytes};
  const auto document = ParseJson(file, text, limits, found);
  ControlSettings settings;
  if (document) {
    JsonObjectReader reader(*document, {std::string(file), ""}, found);
    settings.host = HostId(reader.Name("host"));
    settings.data_centre = DataCentreId(reader.Name("data_centre"));
    settings.data_folder = reader.String("data_folder", {1, kMaxPathBytes});
    settings.peers = ReadEndpoint(reader, "peers", found);
    settings.operators = ReadEndpoint(reader, "operators", found);
    settings.members = ReadMembers(reader, found);
    settings.data_centres = ReadDataCentres(reader);
    settings.frame_key = ReadFrameKey(reader);
    settings.operator_key_sha256 = ReadOperatorKeyDigest(reader);
    settings.log_level = ReadLogLevel(reader);
    reader.ReportUnknownKeys();
    CheckOwnMember(settings, reader);
  }
  findings.Append(found);
  if (!found.empty())
    return std::nullopt;
  return settings;
}

}  // namespace briarlead
