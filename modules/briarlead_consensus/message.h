#ifndef BRIARLEAD_CONSENSUS_MESSAGE_H_
#define BRIARLEAD_CONSENSUS_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "briarlead_consensus/consensus_types.h"
#include "briarlead_core/time.h"

namespace briarlead::consensus {

/// Asks for a vote or, with `pre_vote`, whether the receiver would vote for the
/// sender.
struct VoteRequest {
  bool pre_vote = false;
  /// Set when the leader handed leadership over to the sender. The voters then
  /// need not wait for the leader's lease to end.
  bool transfer = false;
  LogIndex last_index = 0;
  Term last_term = 0;

  friend bool operator==(const VoteRequest&, const VoteRequest&) = default;
};

/// Answers a VoteRequest.
struct VoteResponse {
  bool pre_vote = false;
  bool granted = false;
  Term request_term = 0;  ///< Message::term of the request.

  friend bool operator==(const VoteResponse&, const VoteResponse&) = default;
};

/// Carries the entries that follow `prev_index`; without entries, it is a
/// heartbeat.
struct AppendRequest {
  LogIndex prev_index = 0;
  Term prev_term = 0;
  LogIndex commit_index = 0;
  TimePoint sent_at;  ///< The leader's clock; returned in the response.
  std::vector<LogEntry> entries;

  friend bool operator==(const AppendRequest&, const AppendRequest&) = default;
};

/// Answers an AppendRequest, or reports that a snapshot was installed.
struct AppendResponse {
  bool accepted = false;
  LogIndex prev_index = 0;      ///< Copied from the request.
  LogIndex match_index = 0;     ///< If accepted: last synced matching index.
  LogIndex conflict_index = 0;  ///< If rejected: where to retry from.
  Term conflict_term = 0;  ///< If rejected: term at prev_index; 0 if no entry.
  TimePoint sent_at;       ///< Copied from the request.

  friend bool operator==(const AppendResponse&,
                         const AppendResponse&) = default;
};

/// Carries part of a snapshot.
struct SnapshotChunk {
  LogIndex index = 0;
  Term snapshot_term = 0;
  Membership membership;
  std::uint64_t total_size = 0;  ///< Size of the whole snapshot in bytes.
  std::uint64_t offset = 0;      ///< Position of `data` in the snapshot.
  std::string data;
  TimePoint sent_at;  ///< The leader's clock; returned in the response.

  friend bool operator==(const SnapshotChunk&, const SnapshotChunk&) = default;
};

/// Answers a SnapshotChunk that didn't complete its snapshot. When the snapshot
/// is complete, an AppendResponse is sent instead.
struct SnapshotResponse {
  LogIndex index = 0;
  std::uint64_t next_offset = 0;  ///< Offset of the first missing byte.
  TimePoint sent_at;              ///< Copied from the request.

  friend bool operator==(const SnapshotResponse&,
                         const SnapshotResponse&) = default;
};

/// Sent by a leader that transfers leadership: the receiver starts an election
/// at once.
struct TimeoutNow {
  friend bool operator==(const TimeoutNow&, const TimeoutNow&) = default;
};

/// Asks the leader to add the sender, which is not a member or has not heard
/// from a leader for long. The sender can't know the incarnation of the
/// receiving host, so `to.incarnation` is 0. A follower relays the request to
/// the replica that it knows as the leader.
struct JoinRequest {
  friend bool operator==(const JoinRequest&, const JoinRequest&) = default;
};

using MessageBody = std::variant<VoteRequest,
                                 VoteResponse,
                                 AppendRequest,
                                 AppendResponse,
                                 SnapshotChunk,
                                 SnapshotResponse,
                                 TimeoutNow,
                                 JoinRequest>;

/// A message from one replica to another.
struct Message {
  ClusterId cluster;
  ReplicaId from;
  ReplicaId to;
  Term term = 0;  ///< The sender's term; in a pre-vote request, the next one.
  MessageBody body;

  friend bool operator==(const Message&, const Message&) = default;
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_MESSAGE_H_
