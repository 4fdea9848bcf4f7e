#ifndef BRIARLEAD_CONSENSUS_FILE_STORE_H_
#define BRIARLEAD_CONSENSUS_FILE_STORE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "briarlead_consensus/command.h"
#include "briarlead_consensus/consensus_types.h"
#include "briarlead_consensus/posix_file.h"
#include "briarlead_core/error.h"
#include "briarlead_core/identifiers.h"

namespace briarlead::consensus {

/// Where a store lives, whose it is, and its bounds.
struct FileStoreSettings {
  std::string folder;  ///< Its parent must exist and hold nothing of the store.
  ClusterId cluster;
  HostId host;
  std::size_t max_segment_bytes = std::size_t{8} << 20;
  std::size_t max_batch_bytes = std::size_t{256} << 20;
  std::size_t max_snapshot_bytes = std::size_t{256} << 20;
};

/// Keeps one replica's hard state, log and snapshot in plain files of one
/// folder. Each Write() is one batch with a CRC, synced before it returns. The
/// only class of the module that does I/O; it blocks while it syncs.
class FileStore {
 public:
  explicit FileStore(FileStoreSettings settings);

  /// Returns whether the folder is there. Only where it isn't may Create() be
  /// called: a folder that can't be opened is no reason to make a new one.
  [[nodiscard]] bool Exists() const;

  /// Makes the folder for a new replica; `incarnation` must be random and above
  /// 0. With voters in `first_members` the replica starts a new cluster; all
  /// of these must be made with the same ones. Without, it waits to be added.
  /// Errors: kConflict when the folder is there, kInvalidArgument, kIo.
  Result<void> Create(std::uint64_t incarnation,
                      const Membership& first_members);

  /// Opens the folder and takes it for this process. Cuts a torn tail.
  /// Errors: kNotFound; kConflict when it belongs to another host or cluster or
  /// is open elsewhere; kCorrupt when synced bytes are damaged or missing, then
  /// the host must come back with an empty folder as another replica; kIo.
  Result<RecoveredState> Open();

  /// Writes and syncs `persist`. After an error the store refuses every further
  /// write: what the disk holds is unknown until it is opened again.
  Result<void> Write(const Persist& persist);

 private:
  struct Segment {
    std::uint64_t first_sequence = 0;
    std::string path;
  };

  Result<void> CheckIdentity(RecoveredState& recovered);
  Result<std::vector<Segment>> ListSegments() const;
  Result<void> Replay(const std::vector<Segment>& segments,
                      RecoveredState& recovered);
  Result<void> CutTail(const Segment& segment, std::size_t valid_bytes);
  Result<void> LoadSnapshot(RecoveredState& recovered);
  Result<void> WriteBatch(const Persist& persist);
  Result<void> StartSegment();
  void RemoveBefore(std::uint64_t first_sequence, LogIndex snapshot_index);
  [[nodiscard]] std::string SegmentPath(std::uint64_t first_sequence) const;

  FileStoreSettings settings_;
  PosixFile identity_file_;  ///< Locked while the store is open.
  PosixFile segment_;
  std::size_t segment_bytes_ = 0;
  std::uint64_t next_sequence_ = 1;
  bool failed_ = false;
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_FILE_STORE_H_
