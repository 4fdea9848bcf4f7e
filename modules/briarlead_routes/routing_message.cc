#include "briarlead_routes/routing_message.h"

#include "briarlead_claims/claim_serialization.h"

namespace briarlead {

template <typename Archive>
void serialize(Archive& archive, Endpoint& it) {
  archive(it.address, it.port);
}

template <typename Archive>
void serialize(Archive& archive, ServerRecord& it) {
  archive(it.id, it.service, it.address, it.data_centre, it.slots);
  SerializeEnum(archive, it.state, kLastServerState);
  SerializeEnum(archive, it.stage, kLastEngineStage);
  archive(it.born_ms, it.sequence);
}

template <typename Archive>
void serialize(Archive& archive, HostHeartbeat& it) {
  SerializeEnum(archive, it.role, kLastHostRole);
  archive(it.routes_version, it.servers_digest);
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
void serialize(Archive& archive, RoutingUpdate& it) {
  SerializeEach(archive, it.control_hosts);
  SerializeEach(archive, it.entry_hosts);
  archive(it.routes);
  SerializeEach(archive, it.servers);
}

template <typename Archive>
void serialize(Archive& archive, StreamLoad& it) {
  archive(it.engine, it.tokens_held, it.tokens_remaining);
}

template <typename Archive>
void serialize(Archive& archive, PrefillLoad& it) {
  archive(it.engine, it.tokens);
}

template <typename Archive>
void save(Archive& archive, const WaitingLoad& it) {
  archive(it.service, it.rank, it.prompt_tokens, it.output_tokens,
          static_cast<std::int64_t>(it.target_left.count()));
}

template <typename Archive>
void load(Archive& archive, WaitingLoad& it) {
  std::int64_t left = 0;
  archive(it.service, it.rank, it.prompt_tokens, it.output_tokens, left);
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

std::string EncodeRoutingMessage(const RoutingMessage& message) {
  return EncodeBytes(message);
}

Result<RoutingMessage> DecodeRoutingMessage(std::string_view bytes) {
  if (bytes.size() > kMaxRoutingMessageBytes)
    return Fail(ErrorCode::kTooLarge, "routing message longer than accepted");
  return DecodeBytes<RoutingMessage>(bytes);
}

}  // namespace briarlead
