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

/// How a leader replicates to a peer.
enum class ReplicationMode {
  kProbe,      ///< One append at a time until the peer accepts one.
  kReplicate,  ///< Several appends in flight.
  kSnapshot,   ///< The next entries are compacted; the snapshot is sent.
};

/// A leader's view of the replication progress of one peer.
class PeerProgress {
 public:
  /// `next` is the index of the first entry to try.
  explicit PeerProgress(LogIndex next) : next_(next) {}

  [[nodiscard]] ReplicationMode mode() const { return mode_; }
  /// Returns the index up to which the peer has synced the leader's log.
  [[nodiscard]] LogIndex match() const { return match_; }
  /// Returns the index of the next entry to send.
  [[nodiscard]] LogIndex next() const { return next_; }
  /// Returns when the latest request that the peer answered was sent; nullopt
  /// while it answered none.
  [[nodiscard]] std::optional<TimePoint> contact() const { return contact_; }
  /// Returns the offset of the next snapshot byte to send.
  [[nodiscard]] std::uint64_t snapshot_offset() const {
    return snapshot_offset_;
  }
  /// Returns the snapshot that is being sent; null in other modes.
  [[nodiscard]] const std::shared_ptr<const Snapshot>& snapshot() const {
    return snapshot_;
  }
  /// Returns the commit index in the latest append that was sent.
  [[nodiscard]] LogIndex sent_commit() const { return sent_commit_; }

  /// Returns whether another append or snapshot chunk may be sent now rather
  /// than with the next heartbeat.
  [[nodiscard]] bool MaySend(std::size_t max_in_flight) const;

  /// Records that the peer answered a request sent at `sent_at`.
  void OnContact(TimePoint sent_at);

  /// Records that an append with entries up to `last` and with `commit_index`
  /// was sent.
  void OnSent(LogIndex last, LogIndex commit_index);

  /// Records that the peer synced everything up to `match`.
  void OnAccepted(LogIndex match);

  /// Records that the peer rejected the append after `prev_index`; the next one
  /// starts from `retry_from`. The rejection of an outdated append has no
  /// effect.
  void OnRejected(LogIndex prev_index, LogIndex retry_from);

  /// Starts sending `snapshot`. The peer receives this snapshot to its end,
  /// even if the leader takes newer ones meanwhile.
  void StartSnapshot(std::shared_ptr<const Snapshot> snapshot);

  /// Records that the peer has the bytes before `next_offset` of the snapshot
  /// whose last entry is `index`.
  void OnSnapshotProgress(LogIndex index, std::uint64_t next_offset);

  /// Records that a snapshot chunk was sent.
  void OnChunkSent() { awaiting_response_ = true; }

 private:
  ReplicationMode mode_ = ReplicationMode::kProbe;
  LogIndex match_ = 0;
  LogIndex next_ = 1;
  LogIndex sent_commit_ = 0;
  std::optional<TimePoint> contact_;
  std::deque<LogIndex> in_flight_;  ///< Last index of each unanswered append.
  bool awaiting_response_ = false;  ///< In kProbe and kSnapshot.
  std::shared_ptr<const Snapshot> snapshot_;
  std::uint64_t snapshot_offset_ = 0;
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_PEER_PROGRESS_H_
