#include "briarlead_registry/server_file.h"

#include <utility>

#include "briarlead_accounts/sha256.h"
#include "briarlead_consensus/posix_file.h"
#include "briarlead_routes/routing_message.h"

namespace briarlead {

namespace {

constexpr char kFileName[] = "servers";
constexpr std::size_t kDigestBytes = 64;
constexpr std::size_t kMaxFileBytes = std::size_t{4} << 20;

}  // namespace

Result<void> ServerFile::Save(const std::vector<ServerRecord>& servers) const {
  RoutingUpdate update;
  for (const ServerRecord& it : servers)
    update.servers.push_back({it, Duration::zero()});
  const std::string bytes = EncodeRoutingMessage(update);
  return consensus::WriteFileAtomically<consensus::PosixFile>(
      folder_, kFileName, Sha256Hex(bytes) + bytes);
}

Result<std::vector<ServerRecord>> ServerFile::Load() const {
  BOOST_OUTCOME_TRY(
      const std::string text,
      consensus::ReadFile(folder_ + "/" + kFileName, kMaxFileBytes));
  if (text.size() < kDigestBytes)
    return Fail(ErrorCode::kCorrupt, "the file of servers is too short");
  const std::string_view whole = text;
  const std::string_view bytes = whole.substr(kDigestBytes);
  if (Sha256Hex(bytes) != whole.substr(0, kDigestBytes))
    return Fail(ErrorCode::kCorrupt, "the file of servers is damaged");
  BOOST_OUTCOME_TRY(const RoutingMessage message, DecodeRoutingMessage(bytes));
  const auto* update = std::get_if<RoutingUpdate>(&message);
  if (update == nullptr)
    return Fail(ErrorCode::kCorrupt, "the file holds no servers");
  std::vector<ServerRecord> servers;
  for (const AnnouncedServer& it : update->servers)
    servers.push_back(it.record);
  return servers;
}

}  // namespace briarlead
