#ifndef BRIARLEAD_CONSENSUS_PEER_PROGRESS_H_
#define BRIARLEAD_CONSENSUS_PEER_PROGRESS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

#include "briarlead_consensus/consensus_types.h"
#include "briarlead_core/time.h"

namespace briarlead::consensus {

/// How a leader feeds one other replica.
enum class FeedMode {
  kProbe,      ///< One append at a time until the logs meet.
  kReplicate,  ///< Several appends in flight.
  kSnapshot,   ///< The entries are compacted away: send the snapshot.
};

/// What a leader knows of one other replica.
class PeerProgress {
 public:
  explicit PeerProgress(LogIndex next) : next_(next) {}

  [[nodiscard]] FeedMode mode() const { return mode_; }
  /// Returns the index up to which the replica has synced the leader's log.
  [[nodiscard]] LogIndex match() const { return match_; }
  /// Returns the index of the next entry to send.
  [[nodiscard]] LogIndex next() const { return next_; }
  /// Returns when the latest request that it answered was sent; nullopt while
  /// it answered none.
  [[nodiscard]] std::optional<TimePoint> contact() const { return contact_; }
  [[nodiscard]] std::uint64_t snapshot_offset() const {
    return snapshot_offset_;
  }
  /// Returns the snapshot that is being sent; null outside kSnapshot.
  [[nodiscard]] const std::shared_ptr<const Snapshot>& snapshot() const {
    return snapshot_;
  }
  [[nodiscard]] LogIndex sent_commit() const { return sent_commit_; }

  /// Returns whether an append may be sent before the next heartbeat.
  [[nodiscard]] bool MaySend(std::size_t max_in_flight) const;

  /// Notes that it answered a request sent at `sent_at`.
  void OnContact(TimePoint sent_at);

  /// Notes an append up to `last`, sent with `commit_index`.
  void OnSent(LogIndex last, LogIndex commit_index);

  /// Notes that it synced everything up to `match`.
  void OnAccepted(LogIndex match);

  /// Notes that it refused an append behind `prev_index` and what to try next.
  /// The refusal of an older append changes nothing.
  void OnRefused(LogIndex prev_index, LogIndex try_next);

  /// Starts sending `snapshot`. It stays the same until the replica has it,
  /// however often the leader takes a newer one.
  void StartSnapshot(std::shared_ptr<const Snapshot> snapshot);

  /// Notes that it has the bytes up to `next_offset` of the snapshot that ends
  /// at `index`.
  void OnSnapshotBytes(LogIndex index, std::uint64_t next_offset);

  /// Notes that a chunk is under way.
  void OnChunkSent() { awaiting_answer_ = true; }

 private:
  FeedMode mode_ = FeedMode::kProbe;
  LogIndex match_ = 0;
  LogIndex next_ = 1;
  LogIndex sent_commit_ = 0;
  std::optional<TimePoint> contact_;
  std::deque<LogIndex> in_flight_;  ///< Last index of each unanswered append.
  bool awaiting_answer_ = false;
  std::shared_ptr<const Snapshot> snapshot_;
  std::uint64_t snapshot_offset_ = 0;
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_PEER_PROGRESS_H_
