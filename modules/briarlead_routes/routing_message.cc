#include "briarlead_routes/routing_message.h"

#include <boost/container_hash/hash.hpp>
#include <functional>

#include "briarlead_claims/claim_serialization.h"

namespace briarlead {

template <typename Archive>
void serialize(Archive& archive, Endpoint& it) {
  archive(it.address, it.port);
}

template <typename Archive>
void serialize(Archive& archive, ServerRecord& it) {
  archive(it.id, it.service, it.address, it.data_centre, it.software, it.slots);
  SerializeEnum(archive, it.state, kLastServerState);
  SerializeEnum(archive, it.stage, kLastEngineStage);
  archive(it.born_ms, it.sequence);
}

template <typename Archive>
void serialize(Archive& archive, HostHeartbeat& it) {
  SerializeEnum(archive, it.role, kLastHostRole);
  archive(it.data_centre, it.routes_version, it.servers_digest,
          it.hosts_digest);
}

template <typename Archive>
void serialize(Archive& archive, EntryHost& it) {
  archive(it.peers, it.data_centre);
}

template <typename Archive>
void save(Archive& archive, const AnnouncedServer& it) {
  archive(it.record, static_cast<std::int64_t>(it.age.count()));
}

template <typename Archive>
void load(Archive& archive, AnnouncedServer& it) {
  std::int64_t age = 0;
  archive(it.record, age);
  it.age = Duration(age);
}

template <typename Archive>
void serialize(Archive& archive, ServiceVersion& it) {
  archive(it.service, it.software);
}

template <typename Archive>
void save(Archive& archive, const FormerVersion& it) {
  archive(it.version, static_cast<std::int64_t>(it.age.count()));
}

template <typename Archive>
void load(Archive& archive, FormerVersion& it) {
  std::int64_t age = 0;
  archive(it.version, age);
  it.age = Duration(age);
}

template <typename Archive>
void serialize(Archive& archive, RoutingUpdate& it) {
  SerializeEach(archive, it.control_hosts);
  archive(it.hosts_digest);
  SerializeEach(archive, it.entry_hosts);
  archive(it.routes);
  SerializeEach(archive, it.servers);
  archive(it.others_heard);
  SerializeEach(archive, it.former_versions);
}

template <typename Archive>
void serialize(Archive& archive, StreamLoad& it) {
  archive(it.engine, it.tokens_held, it.tokens_remaining, it.key);
}

template <typename Archive>
void serialize(Archive& archive, PrefillLoad& it) {
  archive(it.engine, it.tokens, it.key);
}

template <typename Archive>
void save(Archive& archive, const WaitingLoad& it) {
  archive(it.service, it.rank, it.prompt_tokens, it.output_tokens,
          static_cast<std::int64_t>(it.target_left.count()), it.key,
          it.software);
}

template <typename Archive>
void load(Archive& archive, WaitingLoad& it) {
  std::int64_t left = 0;
  archive(it.service, it.rank, it.prompt_tokens, it.output_tokens, left, it.key,
          it.software);
  it.target_left = Duration(left);
}

template <typename Archive>
void serialize(Archive& archive, ServerIncarnation& it) {
  archive(it.id, it.born_ms);
}

template <typename Archive>
void serialize(Archive& archive, RetryUsage& it) {
  archive(it.service, it.requests, it.retries);
}

template <typename Archive>
void serialize(Archive& archive, HostReport& it) {
  SerializeEach(archive, it.down);
  SerializeEach(archive, it.retry_usage);
}

template <typename Archive>
void serialize(Archive& archive, HostLoad& it) {
  archive(it.number);
  SerializeEach(archive, it.streams);
  SerializeEach(archive, it.prefills);
  SerializeEach(archive, it.waiting);
  archive(it.report);
}

template <typename Archive>
void save(Archive& archive, const EnginePlacementRequest& it) {
  archive(it.key, it.number, it.service, it.rank, it.prompt_tokens,
          it.output_tokens, static_cast<std::int64_t>(it.target_left.count()),
          it.prefilled_by, it.tokens_since_prefill, it.data_centre,
          it.software);
  SerializeEach(archive, it.excluded);
}

template <typename Archive>
void load(Archive& archive, EnginePlacementRequest& it) {
  std::int64_t left = 0;
  archive(it.key, it.number, it.service, it.rank, it.prompt_tokens,
          it.output_tokens, left, it.prefilled_by, it.tokens_since_prefill,
          it.data_centre, it.software);
  it.target_left = Duration(left);
  SerializeEach(archive, it.excluded);
}

template <typename Archive>
void save(Archive& archive, const EnginePlacementReply& it) {
  archive(it.key, it.number);
  SerializeEnum(archive, it.verdict, kLastPlacementVerdict);
  archive(it.decode, it.prefill, it.prefill_backlog,
          static_cast<std::int64_t>(it.expected_wait.count()));
}

template <typename Archive>
void load(Archive& archive, EnginePlacementReply& it) {
  std::int64_t wait = 0;
  archive(it.key, it.number);
  SerializeEnum(archive, it.verdict, kLastPlacementVerdict);
  archive(it.decode, it.prefill, it.prefill_backlog, wait);
  it.expected_wait = Duration(wait);
}

template <typename Archive>
void save(Archive& archive, const SuspectCrash& it) {
  archive(it.suspect.value, it.server,
          static_cast<std::int64_t>(it.age.count()));
}

template <typename Archive>
void load(Archive& archive, SuspectCrash& it) {
  std::int64_t age = 0;
  archive(it.suspect.value, it.server, age);
  it.age = Duration(age);
}

template <typename Archive>
void save(Archive& archive, const SuspectSurvival& it) {
  archive(it.suspect.value, static_cast<std::int64_t>(it.age.count()));
}

template <typename Archive>
void load(Archive& archive, SuspectSurvival& it) {
  std::int64_t age = 0;
  archive(it.suspect.value, age);
  it.age = Duration(age);
}

template <typename Archive>
void serialize(Archive& archive, CrashReport& it) {
  SerializeEach(archive, it.crashes);
  SerializeEach(archive, it.survivals);
}

template <typename Archive>
void save(Archive& archive, const ServerLimitNotice& it) {
  archive(it.server, it.per_second, static_cast<std::int64_t>(it.age.count()));
}

template <typename Archive>
void load(Archive& archive, ServerLimitNotice& it) {
  std::int64_t age = 0;
  archive(it.server, it.per_second, age);
  it.age = Duration(age);
}

template <typename Archive>
void serialize(Archive& archive, ServerLimitReport& it) {
  SerializeEach(archive, it.notices);
}

template <typename Archive>
void save(Archive& archive, const SendPermitRequest& it) {
  archive(it.number, it.limit, it.wanted,
          static_cast<std::int64_t>(it.within.count()));
}

template <typename Archive>
void load(Archive& archive, SendPermitRequest& it) {
  std::int64_t within = 0;
  archive(it.number, it.limit, it.wanted, within);
  it.within = Duration(within);
}

template <typename Archive>
void save(Archive& archive, const SendPermitReply& it) {
  archive(it.number, it.limit, it.granted,
          static_cast<std::int64_t>(it.starts_in.count()),
          static_cast<std::int64_t>(it.spacing.count()),
          static_cast<std::int64_t>(it.next_in.count()));
}

template <typename Archive>
void load(Archive& archive, SendPermitReply& it) {
  std::int64_t starts_in = 0;
  std::int64_t spacing = 0;
  std::int64_t next_in = 0;
  archive(it.number, it.limit, it.granted, starts_in, spacing, next_in);
  it.starts_in = Duration(starts_in);
  it.spacing = Duration(spacing);
  it.next_in = Duration(next_in);
}

template <typename Archive>
void serialize(Archive& archive, LeavingReport& it) {
  SerializeEach(archive, it.servers);
}

template <typename Archive>
void serialize(Archive& archive, StreamId& it) {
  archive(it.value);
}

template <typename Archive>
void serialize(Archive& archive, StreamOriginReport::Group& it) {
  archive(it.origin);
  SerializeEach(archive, it.streams);
}

template <typename Archive>
void serialize(Archive& archive, StreamOriginReport& it) {
  SerializeEach(archive, it.groups);
}

template <typename Archive>
void serialize(Archive& archive, StreamOriginQuery& it) {
  archive(it.stream);
}

template <typename Archive>
void serialize(Archive& archive, StreamOriginReply& it) {
  archive(it.stream, it.origin);
}

template <typename Archive>
void serialize(Archive& archive, KeyLeaseRequest& it) {
  archive(it.number, it.routes_version);
}

template <typename Archive>
void serialize(Archive& archive, KeyLeaseReply& it) {
  archive(it.number, it.routes_version);
}

template <typename Archive>
void serialize(Archive& archive, QuotaRequest& it) {
  archive(it.number, it.account);
  SerializeEach(archive, it.amounts);
  archive(it.ahead);
}

template <typename Archive>
void save(Archive& archive, const QuotaReply& it) {
  archive(it.number, it.account, it.granted, it.ahead);
  SerializeEnum(archive, it.refusal, kLastQuotaRefusal);
  archive(static_cast<std::int64_t>(it.next_in.count()));
}

template <typename Archive>
void load(Archive& archive, QuotaReply& it) {
  std::int64_t next_in = 0;
  archive(it.number, it.account, it.granted, it.ahead);
  SerializeEnum(archive, it.refusal, kLastQuotaRefusal);
  archive(next_in);
  it.next_in = Duration(next_in);
}

template <typename Archive>
void serialize(Archive& archive, QuotaGrantRequest::Want& it) {
  archive(it.account);
  SerializeEach(archive, it.amounts);
  archive(it.ahead);
}

template <typename Archive>
void serialize(Archive& archive, QuotaGrantRequest& it) {
  archive(it.number);
  SerializeEach(archive, it.wants);
}

template <typename Archive>
void save(Archive& archive, const QuotaGrantReply::Grant& it) {
  archive(it.account, it.granted, it.ahead,
          static_cast<std::int64_t>(it.next_in.count()));
}

template <typename Archive>
void load(Archive& archive, QuotaGrantReply::Grant& it) {
  std::int64_t next_in = 0;
  archive(it.account, it.granted, it.ahead, next_in);
  it.next_in = Duration(next_in);
}

template <typename Archive>
void serialize(Archive& archive, QuotaGrantReply& it) {
  archive(it.number);
  SerializeEach(archive, it.grants);
}

template <typename Archive>
void serialize(Archive& archive, EngineSpeedReport::Entry& it) {
  archive(it.engine, it.prefill_tokens_per_second, it.decode_tokens_per_second);
}

template <typename Archive>
void serialize(Archive& archive, EngineSpeedReport& it) {
  SerializeEach(archive, it.engines);
}

template <typename Archive>
void serialize(Archive& archive, HostCapacityReport& it) {
  archive(it.weight);
}

template <typename Archive>
void serialize(Archive& archive, HostCapacities::Entry& it) {
  archive(it.peers, it.weight);
}

template <typename Archive>
void serialize(Archive& archive, HostCapacities& it) {
  SerializeEach(archive, it.hosts);
}

template <typename Archive>
void serialize(Archive& archive, DirectoryRequest& it) {
  archive(it.heartbeat, it.incarnation, it.revision, it.follows,
          it.knows_silent);
}

template <typename Archive>
void serialize(Archive& archive, DirectoryUpdate& it) {
  archive(it.incarnation, it.from, it.to, it.servers_digest, it.same);
  SerializeEach(archive, it.servers);
  archive(it.all_silent, it.others_heard);
  SerializeEach(archive, it.heard);
  archive(it.heard_within_ms);
  SerializeEach(archive, it.former_versions);
  archive(it.hosts_digest);
}

template <typename Archive>
void save(Archive& archive, const SlotRequest& it) {
  archive(it.key, it.number, it.service, it.rank,
          static_cast<std::int64_t>(it.target_left.count()),
          static_cast<std::int64_t>(it.deadline_left.count()), it.data_centre);
  SerializeEach(archive, it.excluded);
  archive(it.account, it.weight);
}

template <typename Archive>
void load(Archive& archive, SlotRequest& it) {
  std::int64_t target_left = 0;
  std::int64_t deadline_left = 0;
  archive(it.key, it.number, it.service, it.rank, target_left, deadline_left,
          it.data_centre);
  SerializeEach(archive, it.excluded);
  archive(it.account, it.weight);
  it.target_left = Duration(target_left);
  it.deadline_left = Duration(deadline_left);
}

template <typename Archive>
void save(Archive& archive, const SlotReply& it) {
  archive(it.key, it.number);
  SerializeEnum(archive, it.verdict, kLastSlotVerdict);
  archive(it.server, static_cast<std::int64_t>(it.next_in.count()));
}

template <typename Archive>
void load(Archive& archive, SlotReply& it) {
  std::int64_t next_in = 0;
  archive(it.key, it.number);
  SerializeEnum(archive, it.verdict, kLastSlotVerdict);
  archive(it.server, next_in);
  it.next_in = Duration(next_in);
}

template <typename Archive>
void save(Archive& archive, const SlotRelease& it) {
  archive(it.key, it.number);
  SerializeEnum(archive, it.outcome, kLastSlotOutcome);
  archive(static_cast<std::int64_t>(it.took.count()));
}

template <typename Archive>
void load(Archive& archive, SlotRelease& it) {
  std::int64_t took = 0;
  archive(it.key, it.number);
  SerializeEnum(archive, it.outcome, kLastSlotOutcome);
  archive(took);
  it.took = Duration(took);
}

template <typename Archive>
void serialize(Archive& archive, LeavingServer& it) {
  archive(it.record, it.left_by_ms);
}

template <typename Archive>
void serialize(Archive& archive, PersistLeavingRequest& it) {
  SerializeEach(archive, it.servers);
}

template <typename Archive>
void serialize(Archive& archive, SavedServerState& it) {
  archive(it.server);
  SerializeEnum(archive, it.state, kLastServerState);
}

template <typename Archive>
void serialize(Archive& archive, PersistLeavingReply& it) {
  SerializeEach(archive, it.servers);
}

std::uint64_t DigestOf(std::span<const EntryHost> hosts) {
  std::size_t digest = 0;
  for (const EntryHost& it : hosts) {
    boost::hash_combine(digest, it.peers.address);
    boost::hash_combine(digest, it.peers.port);
    boost::hash_combine(digest, it.data_centre.value());
  }
  return digest;
}

std::uint64_t ShortNameOf(const BackendServerId& id) {
  return std::hash<std::string>()(id.value());
}

std::string EncodeRoutingMessage(const RoutingMessage& message) {
  return kRoutingMessageFormat + EncodeBytes(message);
}

Result<RoutingMessage> DecodeRoutingMessage(std::string_view bytes) {
  if (bytes.size() > kMaxRoutingMessageBytes)
    return Fail(ErrorCode::kTooLarge, "routing message longer than accepted");
  if (bytes.empty() || bytes.front() != kRoutingMessageFormat)
    return Fail(ErrorCode::kCorrupt, "routing message of another build");
  return DecodeBytes<RoutingMessage>(bytes.substr(1));
}

}  // namespace briarlead
