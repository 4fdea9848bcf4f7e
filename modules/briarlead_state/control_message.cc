#include "briarlead_state/control_message.h"

#include "briarlead_state/state_serialization.h"

namespace briarlead {

template <typename Archive>
void serialize(Archive& archive, Finding& it) {
  archive(it.file, it.place, it.message);
}

template <typename Archive>
void serialize(Archive& archive, ReadClaim& it) {
  archive(it.key);
}

template <typename Archive>
void serialize(Archive& archive, ReadReach& it) {
  archive(it.revision);
}

template <typename Archive>
void serialize(Archive& /*archive*/, ReadLists& /*it*/) {}

template <typename Archive>
void serialize(Archive& /*archive*/, ReadStatus& /*it*/) {}

template <typename Archive>
void serialize(Archive& archive, ListsHeartbeat& it) {
  archive(it.host, it.data_centre, it.incarnation, it.revision);
}

template <typename Archive>
void serialize(Archive& archive, ControlRequest& it) {
  archive(it.number, it.body);
}

template <typename Archive>
void serialize(Archive& archive, ClaimStatus& it) {
  SerializeEnum(archive, it.state, kLastClaimState);
}

template <typename Archive>
void serialize(Archive& archive, DataCentreReach& it) {
  archive(it.data_centre, it.hosts_known, it.hosts_heard, it.hosts_in_force,
          it.reached);
}

template <typename Archive>
void serialize(Archive& archive, ReachReport& it) {
  archive(it.revision);
  SerializeEach(archive, it.data_centres);
}

template <typename Archive>
void serialize(Archive& archive, ControlStatus& it) {
  archive(it.host, it.leader, it.term, it.is_leader, it.applied_index,
          it.lists_revision, it.claims, it.claims_in_progress, it.claim_bytes,
          it.open_orders, it.last_fencing, it.replicated_clock_ms);
}

template <typename Archive>
void serialize(Archive& archive, RequestRefused& it) {
  SerializeEnum(archive, it.reason, kLastRefusalReason);
  archive(it.may_have_committed, it.leader);
  SerializeEach(archive, it.findings);
}

template <typename Archive>
void serialize(Archive& archive, HostDeadResult& it) {
  archive(it.host, it.claims_unknown);
}

template <typename Archive>
void serialize(Archive& archive, ControlAnswer& it) {
  archive(it.number, it.body);
}

std::string EncodeControlMessage(const ControlMessage& message) {
  return EncodeBytes(message);
}

Result<ControlMessage> DecodeControlMessage(std::string_view bytes) {
  if (bytes.size() > kMaxControlMessageBytes)
    return Fail(ErrorCode::kTooLarge, "control message longer than accepted");
  return DecodeBytes<ControlMessage>(bytes);
}

}  // namespace briarlead
