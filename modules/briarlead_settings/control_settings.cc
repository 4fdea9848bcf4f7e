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

/// Adds a finding if one of `others` has the host or the endpoint of `member`.
void CheckMemberIsUnique(const MemberSettings& member,
                         const std::vector<MemberSettings>& others,
                         JsonObjectReader& reader) {
  for (const MemberSettings& other : others) {
    if (!member.host.empty() && other.host == member.host)
      reader.AddFinding("host", "this host is already in the array");
    if (!member.peers.address.empty() && other.peers == member.peers)
      reader.AddFinding("peers", "this endpoint is already in the array");
  }
}

std::vector<MemberSettings> ReadMembers(JsonObjectReader& reader,
                                        Findings& findings) {
  std::vector<MemberSettings> members;
  for (const JsonValue& item : reader.Array("members", {1, kMaxMembers})) {
    const JsonPlace place = reader.PlaceOf("members").Item(members.size());
    JsonObjectReader member_reader(item, place, findings);
    MemberSettings member = ReadMember(member_reader, findings);
    CheckMemberIsUnique(member, members, member_reader);
    members.push_back(std::move(member));
  }
  return members;
}

std::vector<DataCentreId> ReadDataCentres(JsonObjectReader& reader) {
  std::vector<DataCentreId> data_centres;
  for (const JsonValue& item :
       reader.Array("data_centres", {1, kMaxDataCentres})) {
    const std::string* name = item.AsString();
    if (name == nullptr || !IsName(*name)) {
      reader.AddFinding("data_centres",
                        "expected an array of data centre names");
      continue;
    }
    data_centres.emplace_back(*name);
  }
  return data_centres;
}

/// Adds a finding if this host is in "members" with an endpoint other than
/// "peers". A host that is not in "members" is accepted.
void CheckOwnEndpoint(const ControlSettings& settings,
                      JsonObjectReader& reader) {
  const auto it =
      std::ranges::find(settings.members, settings.host, &MemberSettings::host);
  if (it == settings.members.end() || settings.host.empty())
    return;
  if (it->peers != settings.peers) {
    reader.AddFinding("members", "host \"" + settings.host.value() +
                                     "\" is listed with an endpoint other "
                                     "than \"peers\"");
  }
}

}  // namespace

std::optional<ControlSettings> ParseControlSettings(std::string_view file,
                                                    std::string_view text,
                                                    Findings& findings) {
  Findings own_findings;
  const JsonLimits limits = {.max_bytes = kMaxSettingsBytes};
  const auto document = ParseJson(file, text, limits, own_findings);
  ControlSettings settings;
  if (document) {
    JsonObjectReader reader(*document, {std::string(file), ""}, own_findings);
    settings.host = HostId(reader.Name("host"));
    settings.data_centre = DataCentreId(reader.Name("data_centre"));
    settings.data_folder = reader.String("data_folder", {1, kMaxPathBytes});
    settings.peers = ReadEndpoint(reader, "peers", own_findings);
    settings.operators = ReadEndpoint(reader, "operators", own_findings);
    settings.members = ReadMembers(reader, own_findings);
    settings.data_centres = ReadDataCentres(reader);
    settings.frame_key = ReadFrameKey(reader);
    settings.operator_key_sha256 = ReadOperatorKeyDigest(reader);
    settings.log_level = ReadLogLevel(reader);
    reader.ReportUnknownKeys();
    CheckOwnEndpoint(settings, reader);
  }
  findings.Append(own_findings);
  if (!own_findings.empty())
    return std::nullopt;
  return settings;
}

}  // namespace briarlead
