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

/// Location, owner and size limits of a FileStore.
struct FileStoreSettings {
  /// The parent folder must exist and must contain no files of the store.
  std::string folder;
  ClusterId cluster;
  HostId host;
  std::size_t max_segment_bytes = std::size_t{8} << 20;
  std::size_t max_batch_bytes = std::size_t{256} << 20;
  std::size_t max_snapshot_bytes = std::size_t{256} << 20;
};

/// Stores one replica's hard state, log and snapshot as files in one folder.
/// Each Write() appends one batch with a CRC and syncs it before it returns.
/// This class does all I/O of the module, through PosixFile, and its calls
/// block while they sync.
class FileStore {
 public:
  explicit FileStore(FileStoreSettings settings);

  /// Returns whether the folder exists or its existence can't be determined.
  /// Create() may be called only if this returns false: a folder that can't be
  /// opened must not be replaced by a new one.
  [[nodiscard]] bool Exists() const;

  /// Creates the folder of a new replica. `incarnation` must be random and not
  /// 0. If `initial_members` has voters, the replica starts a new cluster, and
  /// all of these voters must be created with the same membership. Otherwise it
  /// waits to be added to a cluster.
  /// Errors: kConflict when the folder exists, kInvalidArgument, kIo.
  Result<void> Create(std::uint64_t incarnation,
                      const Membership& initial_members);

  /// Opens the folder, locks it for this process and truncates a torn tail.
  /// Errors: kNotFound; kConflict when the folder belongs to another host or
  /// cluster or another process has it open; kCorrupt when synced bytes are
  /// damaged or missing, in which case the host must come back with a new
  /// folder as a different replica; kIo.
  Result<RecoveredState> Open();

  /// Writes and syncs `persist`. After an error all further writes fail,
  /// because the content of the disk is unknown until the store is opened
  /// again.
  Result<void> Write(const Persist& persist);

 private:
  /// A log file. Its name contains the sequence number of its first batch.
  struct Segment {
    std::uint64_t first_sequence = 0;
    std::string path;
  };

  /// Locks and reads the identity file and checks it against the settings.
  Result<void> LoadIdentity(RecoveredState& recovered);
  Result<std::vector<Segment>> ListSegments() const;
  Result<void> Replay(const std::vector<Segment>& segments,
                      RecoveredState& recovered);
  Result<void> TruncateTail(const Segment& segment, std::size_t valid_bytes);
  Result<void> LoadSnapshot(RecoveredState& recovered);
  Result<void> WriteBatch(const Persist& persist);
  Result<void> StartSegment();
  /// Removes temporary files, segments before `first_sequence` and snapshots
  /// before `snapshot_index`.
  void RemoveObsoleteFiles(std::uint64_t first_sequence,
                           LogIndex snapshot_index);
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
