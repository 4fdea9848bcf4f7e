#include "briarlead_claims/claim_table.h"

#include <algorithm>
#include <utility>

#include "briarlead_claims/claim_serialization.h"

namespace briarlead {
namespace {

/// Memory of a claim without its answer: record, list node and index node.
constexpr std::size_t kClaimOverheadBytes = 256;
/// Memory of a recorded answer without its strings.
constexpr std::size_t kAnswerOverheadBytes = 96;

ContentDigest DigestOfKey(const ClaimKey& key) {
  return DigestOf({key.customer.value(), key.idempotency_key});
}

}  // namespace

ClaimTable::ClaimTable(ClaimLimits limits) : limits_(limits) {}

BeginResult ClaimTable::Begin(const BeginClaim& begin, std::uint64_t now_ms) {
  Expire(now_ms);
  const ContentDigest key = DigestOfKey(begin.key);
  const auto it = index_.find(key);
  if (it == index_.end())
    return BeginNew(begin, key, now_ms);
  return BeginExisting(begin, it->second, now_ms);
}

BeginResult ClaimTable::BeginNew(const BeginClaim& begin,
                                 const ContentDigest& key,
                                 std::uint64_t now_ms) {
  if (!HasRoom())
    return {begin.attempt, BeginVerdict::kTableFull, 0, {}};
  in_progress_.push_back({key, begin.content, begin.attempt, now_ms, 0,
                          ClaimState::kInProgress, nullptr});
  const auto record = std::prev(in_progress_.end());
  index_.emplace(key, record);
  bytes_ += BytesOf(*record);
  Grant(begin, record, now_ms);
  return {begin.attempt, BeginVerdict::kGranted, 0, {}};
}

BeginResult ClaimTable::BeginExisting(const BeginClaim& begin,
                                      Records::iterator record,
                                      std::uint64_t now_ms) {
  BeginResult result{begin.attempt, BeginVerdict::kUnknown, 0, {}};
  const bool same_attempt = record->attempt == begin.attempt;
  if (record->content != begin.content) {
    result.verdict = BeginVerdict::kContentMismatch;
    return result;
  }
  switch (record->state) {
    case ClaimState::kFinished:
      result.verdict = BeginVerdict::kFinished;
      result.answer = *record->answer;
      return result;
    case ClaimState::kNotRun:
      if (same_attempt) {
        result.verdict = BeginVerdict::kAbandoned;
        return result;
      }
      Grant(begin, record, now_ms);
      result.verdict = BeginVerdict::kGranted;
      return result;
    case ClaimState::kInProgress:
    case ClaimState::kUnknown:
    case ClaimState::kUnclaimed:
      break;
  }
  // Granting the same attempt again is safe: only the host that created it can
  // use the grant, and that host sends the call only once.
  if (same_attempt) {
    Grant(begin, record, now_ms);
    result.verdict = BeginVerdict::kGranted;
    return result;
  }
  if (record->state == ClaimState::kUnknown)
    return result;
  const std::uint64_t limit_ms = record->changed_ms + record->run_limit_ms;
  if (now_ms > limit_ms) {
    SetState(record, ClaimState::kUnknown, now_ms);
    return result;
  }
  result.verdict = BeginVerdict::kInProgress;
  result.retry_after_ms = static_cast<std::uint32_t>(limit_ms - now_ms);
  return result;
}

void ClaimTable::Grant(const BeginClaim& begin,
                       Records::iterator record,
                       std::uint64_t now_ms) {
  record->attempt = begin.attempt;
  record->run_limit_ms = begin.run_limit_ms;
  SetState(record, ClaimState::kInProgress, now_ms);
}

FinishResult ClaimTable::Finish(const FinishClaim& finish,
                                std::uint64_t now_ms) {
  Expire(now_ms);
  const ContentDigest key = DigestOfKey(finish.key);
  const auto it = index_.find(key);
  if (it == index_.end())
    return RecordAbandoned(finish, key, now_ms);
  FinishResult result{finish.attempt, finish.outcome,
                      FinishVerdict::kAlreadyKnown};
  Record& record = *it->second;
  if (record.attempt != finish.attempt) {
    result.verdict = FinishVerdict::kNoSuchClaim;
    return result;
  }
  // An answer, or proof that the call was not run, is final for the attempt.
  if (record.state == ClaimState::kFinished ||
      record.state == ClaimState::kNotRun) {
    return result;
  }
  result.verdict = FinishVerdict::kRecorded;
  switch (finish.outcome) {
    case RunOutcome::kRan:
      StoreAnswer(record, finish.answer);
      SetState(it->second, ClaimState::kFinished, now_ms);
      return result;
    case RunOutcome::kNotRun:
      SetState(it->second, ClaimState::kNotRun, now_ms);
      return result;
    case RunOutcome::kUnknown:
      SetState(it->second, ClaimState::kUnknown, now_ms);
      return result;
  }
  return result;
}

FinishResult ClaimTable::RecordAbandoned(const FinishClaim& finish,
                                         const ContentDigest& key,
                                         std::uint64_t now_ms) {
  FinishResult none{finish.attempt, finish.outcome,
                    FinishVerdict::kNoSuchClaim};
  if (finish.outcome != RunOutcome::kNotRun || !HasRoom())
    return none;
  // The BeginClaim of this attempt may be applied later. The record keeps it
  // from taking the claim.
  settled_.push_back({key, finish.content, finish.attempt, now_ms, 0,
                      ClaimState::kNotRun, nullptr});
  const auto record = std::prev(settled_.end());
  index_.emplace(key, record);
  bytes_ += BytesOf(*record);
  return {finish.attempt, finish.outcome, FinishVerdict::kRecorded};
}

void ClaimTable::StoreAnswer(Record& record, const RecordedAnswer& answer) {
  bytes_ -= BytesOf(record);
  record.answer = std::make_unique<RecordedAnswer>(answer);
  const bool fits = answer.body.size() <= kMaxRecordedBodyBytes &&
                    bytes_ + BytesOf(record) <= limits_.max_bytes;
  if (!fits)
    *record.answer = {answer.status, {}, {}, false};
  bytes_ += BytesOf(record);
}

std::size_t ClaimTable::MarkHostDead(const ReportHostDead& report,
                                     std::uint64_t now_ms) {
  std::size_t marked = 0;
  for (auto it = in_progress_.begin(); it != in_progress_.end();) {
    const auto record = it++;
    if (record->attempt.host != report.host ||
        record->attempt.incarnation > report.incarnation) {
      continue;
    }
    SetState(record, ClaimState::kUnknown, now_ms);
    ++marked;
  }
  return marked;
}

ClaimState ClaimTable::StateOf(const ClaimKey& key) const {
  const auto it = index_.find(DigestOfKey(key));
  return it == index_.end() ? ClaimState::kUnclaimed : it->second->state;
}

void ClaimTable::SetState(Records::iterator record,
                          ClaimState state,
                          std::uint64_t now_ms) {
  const auto list_of = [this](ClaimState of) -> Records& {
    return of == ClaimState::kInProgress ? in_progress_ : settled_;
  };
  Records& from = list_of(record->state);
  record->state = state;
  record->changed_ms = now_ms;
  Records& to = list_of(state);
  to.splice(to.end(), from, record);
}

void ClaimTable::Expire(std::uint64_t now_ms) {
  ExpireFront(in_progress_, now_ms);
  ExpireFront(settled_, now_ms);
}

void ClaimTable::ExpireFront(Records& records, std::uint64_t now_ms) {
  while (!records.empty() &&
         records.front().changed_ms + limits_.retention_ms <= now_ms) {
    bytes_ -= BytesOf(records.front());
    index_.erase(records.front().key);
    records.pop_front();
  }
}

bool ClaimTable::HasRoom() const {
  return index_.size() < limits_.max_claims &&
         bytes_ + kClaimOverheadBytes <= limits_.max_bytes;
}

std::size_t ClaimTable::BytesOf(const Record& record) {
  if (!record.answer)
    return kClaimOverheadBytes;
  return kClaimOverheadBytes + kAnswerOverheadBytes +
         record.answer->content_type.size() + record.answer->body.size();
}

template <typename Archive, typename RecordType>
void ClaimTable::Serialize(Archive& archive, RecordType& record) {
  archive(record.key, record.content, record.attempt, record.changed_ms,
          record.run_limit_ms);
  SerializeEnum(archive, record.state, kLastClaimState);
  if (record.state != ClaimState::kFinished)
    return;
  if constexpr (Archive::is_loading::value)
    record.answer = std::make_unique<RecordedAnswer>();
  archive(*record.answer);
}

std::string ClaimTable::EncodeSnapshot() const {
  std::string out;
  StringOutputArchive archive(out);
  for (const Records* records : {&in_progress_, &settled_}) {
    archive(static_cast<std::uint64_t>(records->size()));
    for (const Record& record : *records)
      Serialize(archive, record);
  }
  return out;
}

template <typename Archive>
void ClaimTable::LoadRecords(Archive& archive, Records& records) {
  std::uint64_t size = 0;
  archive(size);
  for (std::uint64_t i = 0; i < size; ++i) {
    records.emplace_back();
    Serialize(archive, records.back());
  }
}

Result<void> ClaimTable::RestoreSnapshot(std::string_view snapshot) {
  ClaimTable restored(limits_);
  try {
    BoundedInputArchive archive(snapshot);
    LoadRecords(archive, restored.in_progress_);
    LoadRecords(archive, restored.settled_);
    if (!archive.AtEnd())
      return Fail(ErrorCode::kCorrupt, "bytes after the last claim");
  } catch (const std::exception& ex) {
    return Fail(ErrorCode::kCorrupt, ex.what());
  }
  BOOST_OUTCOME_TRY(restored.BuildIndex());
  *this = std::move(restored);
  return outcome::success();
}

Result<void> ClaimTable::BuildIndex() {
  for (Records* records : {&in_progress_, &settled_}) {
    std::uint64_t last_ms = 0;
    for (auto it = records->begin(); it != records->end(); ++it) {
      const bool is_running = it->state == ClaimState::kInProgress;
      if (is_running != (records == &in_progress_) ||
          it->state == ClaimState::kUnclaimed || it->changed_ms < last_ms ||
          !index_.emplace(it->key, it).second) {
        return Fail(ErrorCode::kCorrupt, "claims out of order");
      }
      last_ms = it->changed_ms;
      bytes_ += BytesOf(*it);
    }
  }
  return outcome::success();
}

}  // namespace briarlead
