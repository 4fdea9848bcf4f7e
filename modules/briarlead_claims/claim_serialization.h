#ifndef BRIARLEAD_CLAIMS_CLAIM_SERIALIZATION_H_
#define BRIARLEAD_CLAIMS_CLAIM_SERIALIZATION_H_

// Internal to the codecs, as bounded_archive.h.

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
void serialize(Archive& archive, RequestId& it) {
  archive(it.host, it.incarnation, it.sequence);
}

template <typename Archive>
void serialize(Archive& archive, ContentDigest& it) {
  archive(it.high, it.low);
}

template <typename Archive>
void serialize(Archive& archive, ClaimKey& it) {
  archive(it.customer, it.idempotency_key);
}

template <typename Archive>
void serialize(Archive& archive, RecordedAnswer& it) {
  archive(it.status, it.content_type, it.body, it.kept);
}

template <typename Archive>
void serialize(Archive& archive, BeginClaim& it) {
  archive(it.key, it.content, it.attempt, it.run_limit_ms);
}

template <typename Archive>
void serialize(Archive& archive, BeginResult& it) {
  archive(it.attempt);
  SerializeEnum(archive, it.verdict, kLastBeginVerdict);
  archive(it.retry_after_ms, it.answer);
}

template <typename Archive>
void serialize(Archive& archive, FinishClaim& it) {
  archive(it.key, it.content, it.attempt);
  SerializeEnum(archive, it.outcome, kLastRunOutcome);
  archive(it.answer);
}

template <typename Archive>
void serialize(Archive& archive, FinishResult& it) {
  archive(it.attempt);
  SerializeEnum(archive, it.outcome, kLastRunOutcome);
  SerializeEnum(archive, it.verdict, kLastFinishVerdict);
}

template <typename Archive>
void serialize(Archive& archive, ReportHostDead& it) {
  archive(it.host, it.incarnation);
}

}  // namespace briarlead

#endif  // BRIARLEAD_CLAIMS_CLAIM_SERIALIZATION_H_
