#ifndef BRIARLEAD_CLAIMS_CLAIM_SERIALIZATION_H_
#define BRIARLEAD_CLAIMS_CLAIM_SERIALIZATION_H_

// Cereal functions for the types of claim_messages.h. For inclusion, the rule
// of bounded_archive.h applies.

#include <string>
#include <utility>

#include "briarlead_claims/bounded_archive.h"
#include "briarlead_claims/claim_messages.h"

namespace briarlead {

template <typename Archive, typename Tag>
void save(Archive& archive, const Identifier<Tag>& id) {
  archive(id.value());
}

template <typename Archive, typename Tag>
void load(Archive& archive, Identifier<Tag>& id) {
  std::string value;
  archive(value);
  id = Identifier<Tag>(std::move(value));
}

template <typename Archive>
void serialize(Archive& archive, RequestId& value) {
  archive(value.host, value.incarnation, value.sequence);
}

template <typename Archive>
void serialize(Archive& archive, ContentDigest& value) {
  archive(value.high, value.low);
}

template <typename Archive>
void serialize(Archive& archive, ClaimKey& value) {
  archive(value.customer, value.idempotency_key);
}

template <typename Archive>
void serialize(Archive& archive, RecordedAnswer& value) {
  archive(value.status, value.content_type, value.body, value.kept);
}

template <typename Archive>
void serialize(Archive& archive, BeginClaim& value) {
  archive(value.key, value.content, value.attempt, value.run_limit_ms);
}

template <typename Archive>
void serialize(Archive& archive, BeginResult& value) {
  archive(value.attempt);
  SerializeEnum(archive, value.verdict, kLastBeginVerdict);
  archive(value.retry_after_ms, value.answer);
}

template <typename Archive>
void serialize(Archive& archive, FinishClaim& value) {
  archive(value.key, value.content, value.attempt);
  SerializeEnum(archive, value.outcome, kLastRunOutcome);
  archive(value.answer);
}

template <typename Archive>
void serialize(Archive& archive, FinishResult& value) {
  archive(value.attempt);
  SerializeEnum(archive, value.outcome, kLastRunOutcome);
  SerializeEnum(archive, value.verdict, kLastFinishVerdict);
}

template <typename Archive>
void serialize(Archive& archive, ReportHostDead& value) {
  archive(value.host, value.incarnation);
}

}  // namespace briarlead

#endif  // BRIARLEAD_CLAIMS_CLAIM_SERIALIZATION_H_
