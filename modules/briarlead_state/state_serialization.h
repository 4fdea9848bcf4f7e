#ifndef BRIARLEAD_STATE_STATE_SERIALIZATION_H_
#define BRIARLEAD_STATE_STATE_SERIALIZATION_H_

// cereal serialisation of the commands and records of this module. Only .cc
// files include it, so that cereal stays out of the public headers.

#include "briarlead_claims/claim_serialization.h"
#include "briarlead_state/engine_order.h"
#include "briarlead_state/list_store.h"
#include "briarlead_state/state_command.h"

namespace briarlead {

template <typename Archive>
void serialize(Archive& archive, LeaderTime& it) {
  archive(it.term, it.elapsed_ms);
}

template <typename Archive>
void serialize(Archive& /*archive*/, AdvanceClock& /*it*/) {}

template <typename Archive>
void serialize(Archive& archive, ApplyLists& it) {
  archive(it.base_revision, it.customers, it.plans, it.operator_name,
          it.change_id, it.submitted_wall_ms);
}

template <typename Archive>
void serialize(Archive& archive, EngineOrder& it) {
  SerializeEnum(archive, it.kind, kLastOrderKind);
  archive(it.server, it.model, it.argument, it.checks_fencing);
}

template <typename Archive>
void serialize(Archive& archive, BecomeOrderIssuer& it) {
  archive(it.host, it.term);
}

template <typename Archive>
void serialize(Archive& archive, IssueOrder& it) {
  archive(it.term, it.request, it.order);
}

template <typename Archive>
void serialize(Archive& archive, FinishOrder& it) {
  archive(it.fencing);
  SerializeEnum(archive, it.state, kLastOrderState);
}

template <typename Archive>
void serialize(Archive& archive, OrderRecord& it) {
  archive(it.fencing, it.term, it.request, it.order);
  SerializeEnum(archive, it.state, kLastOrderState);
}

template <typename Archive>
void serialize(Archive& archive, ReplaceRoutes& it) {
  archive(it.version, it.text);
}

template <typename Archive>
void serialize(Archive& archive, StateCommand& it) {
  archive(it.time, it.body);
}

template <typename Archive>
void serialize(Archive& archive, ListsInForce& it) {
  archive(it.revision, it.customers_revision, it.plans_revision, it.customers,
          it.plans);
}

template <typename Archive>
void serialize(Archive& archive, AcceptedChange& it) {
  archive(it.revision, it.operator_name, it.submitted_wall_ms);
}

template <typename Archive>
void serialize(Archive& archive, ApplyListsResult& it) {
  SerializeEnum(archive, it.verdict, kLastApplyVerdict);
  archive(it.change, it.current_revision);
}

}  // namespace briarlead

#endif  // BRIARLEAD_STATE_STATE_SERIALIZATION_H_
