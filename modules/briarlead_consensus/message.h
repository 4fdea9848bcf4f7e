#ifndef BRIARLEAD_CONSENSUS_MESSAGE_H_
#define BRIARLEAD_CONSENSUS_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "briarlead_consensus/consensus_types.h"
#include "briarlead_core/time.h"

namespace briarlead::consensus {

/// Asks for a vote, or with `pre_vote` whether a vote would be given.
struct VoteRequest {
  bool pre_vote = false;
  /// The leader handed over: voters need not wait for its lease to end.
  bool transfer = false;
  LogIndex last_index = 0;
  Term last_term = 0;

  friend bool operator==(const VoteRequest&, const VoteRequest&) = default;
};

/// Answers a VoteRequest.
struct VoteResponse {
  bool pre_vote = false;
  bool granted = false;
  Term request_term = 0;  ///< Term of the election that was asked about.

  friend bool operator==(const VoteResponse&, const VoteResponse&) = default;
};

/// Entries that follow `prev_index`; without entries, a heartbeat.
struct AppendRequest {
  LogIndex prev_index = 0;
  Term prev_term = 0;
  LogIndex commit_index = 0;
  TimePoint sent_at;  ///< By the leader's clock; comes back in the answer.
  std::vector<LogEntry> entries;

  friend bool operator==(const AppendRequest&, const AppendRequest&) = default;
};

/// Answers an AppendRequest, or reports a snapshot as installed.
struct AppendResponse {
  bool accepted = false;
  LogIndex prev_index = 0;      ///< Of the request.
  LogIndex match_index = 0;     ///< When accepted: synced up to here.
  LogIndex conflict_index = 0;  ///< When refused: try from here.
  Term conflict_term = 0;       ///< When refused: term found at prev_index.
  TimePoint sent_at;            ///< Of the request.

  friend bool operator==(const AppendResponse&,
                         const AppendResponse&) = default;
};

/// Part of a snapshot.
struct SnapshotChunk {
  LogIndex index = 0;
  Term snapshot_term = 0;
  Membership membership;
  std::uint64_t total_size = 0;  ///< Bytes of the whole snapshot.
  std::uint64_t offset = 0;
  std::string data;
  TimePoint sent_at;

  friend bool operator==(const SnapshotChunk&, const SnapshotChunk&) = default;
};

/// Answers a SnapshotChunk that didn't complete the snapshot.
struct SnapshotResponse {
  LogIndex index = 0;
  std::uint64_t next_offset = 0;  ///< First byte that is still missing.
  TimePoint sent_at;

  friend bool operator==(const SnapshotResponse&,
                         const SnapshotResponse&) = default;
};

/// The leader tells its successor to hold an election at once.
struct TimeoutNow {
  friend bool operator==(const TimeoutNow&, const TimeoutNow&) = default;
};

/// A replica that is no member asks the leader to be added. It is sent to a
/// host whose incarnation the sender can't know: `to.incarnation` is 0.
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

/// What replicas send to one another.
struct Message {
  ClusterId cluster;
  ReplicaId from;
  ReplicaId to;
  Term term = 0;  ///< The sender's, or that of the election asked about.
  MessageBody body;

  friend bool operator==(const Message&, const Message&) = default;
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_MESSAGE_H_
