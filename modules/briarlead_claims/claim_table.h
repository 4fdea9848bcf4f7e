#ifndef BRIARLEAD_CLAIMS_CLAIM_TABLE_H_
#define BRIARLEAD_CLAIMS_CLAIM_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "briarlead_claims/claim_messages.h"
#include "briarlead_core/error.h"

namespace briarlead {

/// Limits of a ClaimTable. Every replica must use the same values.
struct ClaimLimits {
  /// Time that a claim is kept after its last change, in milliseconds.
  std::uint64_t retention_ms = 24ULL * 60 * 60 * 1000;
  std::size_t max_claims = 262'144;
  /// Most memory for claims and their recorded answers, in bytes.
  std::size_t max_bytes = 256UL * 1024 * 1024;
};

/// The replicated state of at-most-once calls: the operations that were
/// claimed, and their outcomes. Deterministic; the current time comes from the
/// replicated log.
///
/// An operation that was claimed may be claimed by another attempt only after
/// proof that it was not run. A full table refuses new claims and never drops
/// one before its retention time ends.
class ClaimTable {
 public:
  explicit ClaimTable(ClaimLimits limits = {});

  /// Decides on `begin` at `now_ms` of the replicated clock.
  BeginResult Begin(const BeginClaim& begin, std::uint64_t now_ms);

  /// Records the outcome of an attempt.
  FinishResult Finish(const FinishClaim& finish, std::uint64_t now_ms);

  /// Sets the claims in progress of a dead host to unknown. Returns the number
  /// of claims changed.
  std::size_t MarkHostDead(const ReportHostDead& report, std::uint64_t now_ms);

  /// Returns the state of the claim on `key`; kUnclaimed when there is none.
  [[nodiscard]] ClaimState StateOf(const ClaimKey& key) const;

  /// Removes the claims whose retention time has ended.
  void Expire(std::uint64_t now_ms);

  /// Returns the number of claims kept.
  [[nodiscard]] std::size_t size() const { return index_.size(); }
  /// Returns the number of claims in progress.
  [[nodiscard]] std::size_t in_progress() const { return in_progress_.size(); }
  /// Returns the estimated memory of the claims, in bytes, as limited by
  /// ClaimLimits::max_bytes.
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

  /// Returns all claims, encoded for RestoreSnapshot().
  [[nodiscard]] std::string EncodeSnapshot() const;
  /// Replaces all claims by those of `snapshot`. Errors: kCorrupt, and the
  /// table is unchanged.
  Result<void> RestoreSnapshot(std::string_view snapshot);

 private:
  struct Record {
    ContentDigest key;
    ContentDigest content;
    AttemptToken attempt;
    std::uint64_t changed_ms = 0;
    std::uint32_t run_limit_ms = 0;
    ClaimState state = ClaimState::kInProgress;
    std::unique_ptr<RecordedAnswer> answer;
  };
  using Records = std::list<Record>;

  BeginResult BeginNew(const BeginClaim& begin,
                       const ContentDigest& key,
                       std::uint64_t now_ms);
  BeginResult BeginExisting(const BeginClaim& begin,
                            Records::iterator record,
                            std::uint64_t now_ms);
  FinishResult RecordAbandoned(const FinishClaim& finish,
                               const ContentDigest& key,
                               std::uint64_t now_ms);
  void Grant(const BeginClaim& begin,
             Records::iterator record,
             std::uint64_t now_ms);
  void StoreAnswer(Record& record, const RecordedAnswer& answer);
  /// Sets the state and the time of the last change, and moves `record` to the
  /// back of the list for its state.
  void SetState(Records::iterator record,
                ClaimState state,
                std::uint64_t now_ms);
  void ExpireFront(Records& records, std::uint64_t now_ms);
  [[nodiscard]] bool HasRoom() const;
  [[nodiscard]] static std::size_t BytesOf(const Record& record);

  template <typename Archive, typename RecordType>
  static void Serialize(Archive& archive, RecordType& record);
  template <typename Archive>
  static void LoadRecords(Archive& archive, Records& records);
  [[nodiscard]] Result<void> BuildIndex();

  ClaimLimits limits_;
  /// Claims in progress, and all others; both lists in order of last change.
  Records in_progress_;
  Records settled_;
  std::unordered_map<ContentDigest, Records::iterator> index_;
  std::size_t bytes_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_CLAIMS_CLAIM_TABLE_H_
