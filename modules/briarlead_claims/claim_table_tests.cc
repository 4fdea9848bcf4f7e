#include "briarlead_claims/claim_table.h"

#include <CppUTest/TestHarness.h>

#include "briarlead_core/random_source.h"

namespace briarlead {
namespace {

AttemptToken Attempt(std::uint64_t sequence, const char* host = "a") {
  return {HostId(host), 1, sequence};
}

BeginClaim Begin(const char* key, std::uint64_t sequence) {
  return {{CustomerId("coop"), key}, {1, 1}, Attempt(sequence), 1000};
}

FinishClaim Finish(const char* key,
                   std::uint64_t sequence,
                   RunOutcome outcome) {
  FinishClaim finish{
      {CustomerId("coop"), key}, {1, 1}, Attempt(sequence), outcome, {}};
  if (outcome == RunOutcome::kRan)
    finish.answer = {201, "text/plain", "done", true};
  return finish;
}

}  // namespace

TEST_GROUP(ClaimTable) {
  ClaimTable table_;

  BeginVerdict BeginAt(const char* key, std::uint64_t sequence,
                       std::uint64_t now_ms) {
    return table_.Begin(Begin(key, sequence), now_ms).verdict;
  }
  FinishVerdict FinishAt(const char* key, std::uint64_t sequence,
                         RunOutcome outcome, std::uint64_t now_ms) {
    return table_.Finish(Finish(key, sequence, outcome), now_ms).verdict;
  }
};

TEST(ClaimTable, SecondAttemptGetsTheRecordedAnswer) {
  CHECK_TRUE(BeginAt("k", 1, 0) == BeginVerdict::kGranted);
  CHECK_TRUE(BeginAt("k", 2, 1) == BeginVerdict::kInProgress);
  CHECK_TRUE(FinishAt("k", 1, RunOutcome::kRan, 2) == FinishVerdict::kRecorded);
  const BeginResult result = table_.Begin(Begin("k", 3), 3);
  CHECK_TRUE(result.verdict == BeginVerdict::kFinished);
  STRCMP_EQUAL("done", result.answer.body.c_str());
}

TEST(ClaimTable, OnlyProofOfNotRunningReleasesTheKey) {
  CHECK_TRUE(BeginAt("k", 1, 0) == BeginVerdict::kGranted);
  FinishAt("k", 1, RunOutcome::kUnknown, 1);
  CHECK_TRUE(BeginAt("k", 2, 2) == BeginVerdict::kUnknown);
  FinishAt("k", 1, RunOutcome::kNotRun, 3);
  CHECK_TRUE(BeginAt("k", 2, 4) == BeginVerdict::kGranted);
  FinishAt("k", 1, RunOutcome::kNotRun, 5);
  CHECK_TRUE(BeginAt("k", 3, 6) == BeginVerdict::kInProgress);
}

TEST(ClaimTable, AnswerIsFinal) {
  BeginAt("k", 1, 0);
  FinishAt("k", 1, RunOutcome::kRan, 1);
  CHECK_TRUE(FinishAt("k", 1, RunOutcome::kNotRun, 2) ==
             FinishVerdict::kAlreadyKnown);
  FinishAt("k", 1, RunOutcome::kUnknown, 3);
  CHECK_TRUE(BeginAt("k", 2, 4) == BeginVerdict::kFinished);
}

TEST(ClaimTable, LateAnswerReplacesUnknown) {
  BeginAt("k", 1, 0);
  FinishAt("k", 1, RunOutcome::kUnknown, 1);
  FinishAt("k", 1, RunOutcome::kRan, 2);
  CHECK_TRUE(BeginAt("k", 2, 3) == BeginVerdict::kFinished);
}

TEST(ClaimTable, UnfinishedAttemptBecomesUnknownAfterItsLimit) {
  BeginAt("k", 1, 0);
  CHECK_TRUE(BeginAt("k", 2, 1000) == BeginVerdict::kInProgress);
  CHECK_TRUE(BeginAt("k", 2, 1001) == BeginVerdict::kUnknown);
}

TEST(ClaimTable, ClaimsOfADeadHostBecomeUnknown) {
  BeginAt("k", 1, 0);
  LONGS_EQUAL(0, table_.MarkHostDead({HostId("b"), 9}, 1));
  LONGS_EQUAL(0, table_.MarkHostDead({HostId("a"), 0}, 1));
  LONGS_EQUAL(1, table_.MarkHostDead({HostId("a"), 1}, 1));
  CHECK_TRUE(BeginAt("k", 2, 2) == BeginVerdict::kUnknown);
}

TEST(ClaimTable, AbandonedAttemptNeverHoldsTheClaim) {
  FinishAt("k", 1, RunOutcome::kNotRun, 0);
  CHECK_TRUE(BeginAt("k", 1, 1) == BeginVerdict::kAbandoned);
  CHECK_TRUE(BeginAt("k", 2, 2) == BeginVerdict::kGranted);
}

TEST(ClaimTable, KeyWithDifferentContentIsRefused) {
  BeginAt("k", 1, 0);
  BeginClaim other = Begin("k", 2);
  other.content.low = 2;
  CHECK_TRUE(table_.Begin(other, 1).verdict == BeginVerdict::kContentMismatch);
}

TEST(ClaimTable, FullTableRefusesClaimsAndDropsNoneEarly) {
  table_ = ClaimTable({.retention_ms = 100, .max_claims = 2});
  BeginAt("a", 1, 0);
  BeginAt("b", 2, 10);
  CHECK_TRUE(BeginAt("c", 3, 99) == BeginVerdict::kTableFull);
  CHECK_TRUE(BeginAt("a", 4, 99) == BeginVerdict::kInProgress);
  CHECK_TRUE(BeginAt("c", 5, 100) == BeginVerdict::kGranted);
  CHECK_TRUE(BeginAt("b", 6, 100) == BeginVerdict::kInProgress);
}

TEST(ClaimTable, RetentionStartsAtTheLastChange) {
  table_ = ClaimTable({.retention_ms = 100});
  BeginAt("a", 1, 0);
  FinishAt("a", 1, RunOutcome::kRan, 60);
  CHECK_TRUE(BeginAt("a", 2, 159) == BeginVerdict::kFinished);
  CHECK_TRUE(BeginAt("a", 3, 160) == BeginVerdict::kGranted);
  LONGS_EQUAL(1, table_.size());
}

TEST(ClaimTable, AnswerBeyondTheMemoryLimitIsNotKeptButCountsAsRun) {
  table_ = ClaimTable({.max_bytes = 400});
  BeginAt("a", 1, 0);
  FinishClaim finish = Finish("a", 1, RunOutcome::kRan);
  finish.answer.body.assign(300, 'x');
  table_.Finish(finish, 1);
  const BeginResult result = table_.Begin(Begin("a", 2), 2);
  CHECK_TRUE(result.verdict == BeginVerdict::kFinished);
  CHECK_FALSE(result.answer.kept);
  CHECK_TRUE(table_.bytes() <= 400);
}

TEST(ClaimTable, SnapshotRestoresEveryClaim) {
  BeginAt("a", 1, 0);
  BeginAt("b", 2, 1);
  BeginAt("c", 3, 2);
  FinishAt("a", 1, RunOutcome::kRan, 3);
  FinishAt("b", 2, RunOutcome::kNotRun, 4);
  ClaimTable copy;
  CHECK_TRUE(copy.RestoreSnapshot(table_.EncodeSnapshot()).has_value());
  CHECK_TRUE(copy.EncodeSnapshot() == table_.EncodeSnapshot());
  LONGS_EQUAL(table_.bytes(), copy.bytes());
  CHECK_TRUE(copy.Begin(Begin("a", 9), 5) == table_.Begin(Begin("a", 9), 5));
  CHECK_TRUE(copy.Begin(Begin("b", 9), 5).verdict == BeginVerdict::kGranted);
  CHECK_TRUE(copy.Begin(Begin("c", 9), 5).verdict == BeginVerdict::kInProgress);
}

TEST(ClaimTable, MutatedSnapshotIsRejectedOrRestoredExactly) {
  BeginAt("a", 1, 0);
  BeginAt("b", 2, 1);
  FinishAt("a", 1, RunOutcome::kRan, 3);
  const std::string good = table_.EncodeSnapshot();
  RandomSource random(7);
  for (int i = 0; i < 20'000; ++i) {
    std::string bad = good;
    bad[random.Below(bad.size())] ^= static_cast<char>(1 + random.Below(255));
    if (random.Chance(0.3))
      bad.resize(random.Below(bad.size()));
    ClaimTable copy;
    if (copy.RestoreSnapshot(bad)) {
      CHECK_TRUE(copy.EncodeSnapshot() == bad);
    } else {
      LONGS_EQUAL(0, copy.size());
    }
  }
}

}  // namespace briarlead
