#ifndef BRIARLEAD_CONSENSUS_BASIC_FILE_STORE_H_
#define BRIARLEAD_CONSENSUS_BASIC_FILE_STORE_H_

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include "briarlead_consensus/batch_format.h"
#include "briarlead_consensus/codec.h"
#include "briarlead_consensus/command.h"
#include "briarlead_consensus/consensus_types.h"
#include "briarlead_consensus/posix_file.h"
#include "briarlead_consensus/store_files.h"
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
/// This class does all I/O of the module, and its calls block while they sync.
/// `File` has the interface of PosixFile; tests let the power fail under it.
template <typename File>
class BasicFileStore {
 public:
  explicit BasicFileStore(FileStoreSettings settings);

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
  /// Returns the index of the newest segment that needs no earlier one. What
  /// precedes it is obsolete and may have gaps: after a loss of power, a file
  /// that was removed may be there again. Error: kCorrupt if there is none.
  Result<std::size_t> FindStart(const std::vector<Segment>& segments) const;
  /// Returns whether the segment begins with the first batch of the store or
  /// with a whole batch that has a snapshot.
  Result<bool> IsStart(const Segment& segment) const;
  Result<std::string> ReadSegment(const Segment& segment) const;
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
  File identity_file_;  ///< Locked while the store is open.
  File segment_;
  std::size_t segment_bytes_ = 0;
  std::uint64_t next_sequence_ = 1;
  bool failed_ = false;
};

template <typename File>
BasicFileStore<File>::BasicFileStore(FileStoreSettings settings)
    : settings_(std::move(settings)) {}

template <typename File>
bool BasicFileStore<File>::Exists() const {
  std::error_code ec;
  return std::filesystem::exists(settings_.folder, ec) || ec;
}

template <typename File>
Result<void> BasicFileStore<File>::Create(std::uint64_t incarnation,
                                          const Membership& initial_members) {
  if (incarnation == 0)
    return Fail(ErrorCode::kInvalidArgument, "the incarnation must be random");
  if (Exists())
    return Fail(ErrorCode::kConflict, settings_.folder + " already exists");
  // The folder gets its final name only after all its content is synced, so
  // that an interrupted Create() leaves no incomplete store.
  const std::string folder = settings_.folder + ".new";
  std::error_code ec;
  std::filesystem::remove_all(folder, ec);
  BOOST_OUTCOME_TRY(File::MakeFolder(folder));
  const Identity identity{settings_.cluster, {settings_.host, incarnation}};
  BOOST_OUTCOME_TRY(WriteFileAtomically<File>(
      folder, std::string(kIdentityName),
      FrameBatch(kFirstSequence, EncodeIdentity(identity))));
  Persist first;
  if (!initial_members.voters.empty()) {
    first.hard_state.term = 1;
    first.entries.push_back(
        LogEntry{1, 1, EntryKind::kMembership, {}, initial_members});
  }
  BOOST_OUTCOME_TRY(WriteFileAtomically<File>(
      folder, NumberedName(kSegmentPrefix, kFirstSequence),
      FrameBatch(kFirstSequence, EncodePersist(first))));
  BOOST_OUTCOME_TRY(File::Rename(folder, settings_.folder));
  return SyncFolder<File>(std::filesystem::path(folder).parent_path().string());
}

template <typename File>
Result<RecoveredState> BasicFileStore<File>::Open() {
  RecoveredState recovered;
  BOOST_OUTCOME_TRY(LoadIdentity(recovered));
  BOOST_OUTCOME_TRY(const std::vector<Segment> segments, ListSegments());
  BOOST_OUTCOME_TRY(Replay(segments, recovered));
  BOOST_OUTCOME_TRY(LoadSnapshot(recovered));
  return recovered;
}

template <typename File>
Result<void> BasicFileStore<File>::Write(const Persist& persist) {
  if (failed_ || !segment_.is_open())
    return Fail(ErrorCode::kIo, "the store is not open or has failed");
  Result<void> written = WriteBatch(persist);
  failed_ = written.has_error();
  return written;
}

template <typename File>
Result<void> BasicFileStore<File>::LoadIdentity(RecoveredState& recovered) {
  const std::string path = settings_.folder + "/" + std::string(kIdentityName);
  BOOST_OUTCOME_TRY(identity_file_, File::OpenForRead(path));
  BOOST_OUTCOME_TRY(identity_file_.Lock());
  BOOST_OUTCOME_TRY(const std::string payload,
                    ReadSingleBatch(path, kFirstSequence, kMaxIdentityBytes));
  BOOST_OUTCOME_TRY(recovered.identity, DecodeIdentity(payload));
  if (recovered.identity.cluster != settings_.cluster ||
      recovered.identity.replica.host != settings_.host) {
    return Fail(ErrorCode::kConflict,
                fmt::format("{} belongs to {} of cluster {}", settings_.folder,
                            ToString(recovered.identity.replica),
                            recovered.identity.cluster.value()));
  }
  return outcome::success();
}

template <typename File>
auto BasicFileStore<File>::ListSegments() const
    -> Result<std::vector<Segment>> {
  std::vector<Segment> segments;
  std::error_code ec;
  for (const auto& it :
       std::filesystem::directory_iterator(settings_.folder, ec)) {
    const std::string name = it.path().filename().string();
    if (const auto number = ParseNumber(name, kSegmentPrefix))
      segments.push_back({*number, it.path().string()});
  }
  if (ec)
    return Fail(ErrorCode::kIo, "can't list " + settings_.folder);
  std::sort(segments.begin(), segments.end(),
            [](const Segment& one, const Segment& other) {
              return one.first_sequence < other.first_sequence;
            });
  return segments;
}

template <typename File>
Result<std::size_t> BasicFileStore<File>::FindStart(
    const std::vector<Segment>& segments) const {
  for (std::size_t it = segments.size(); it-- > 0;) {
    BOOST_OUTCOME_TRY(const bool is_start, IsStart(segments[it]));
    if (is_start)
      return it;
  }
  return Fail(ErrorCode::kCorrupt, "the start of the log is missing");
}

template <typename File>
Result<bool> BasicFileStore<File>::IsStart(const Segment& segment) const {
  if (segment.first_sequence == kFirstSequence)
    return true;
  BOOST_OUTCOME_TRY(const std::string bytes, ReadSegment(segment));
  const std::optional<std::string_view> payload =
      ReadBatch(bytes, segment.first_sequence);
  if (!payload.has_value())
    return false;
  BOOST_OUTCOME_TRY(const Persist persist, DecodePersist(*payload));
  return persist.snapshot != nullptr;
}

template <typename File>
Result<std::string> BasicFileStore<File>::ReadSegment(
    const Segment& segment) const {
  return ReadFile(segment.path,
                  settings_.max_segment_bytes + settings_.max_batch_bytes);
}

template <typename File>
Result<void> BasicFileStore<File>::Replay(const std::vector<Segment>& segments,
                                          RecoveredState& recovered) {
  BOOST_OUTCOME_TRY(const std::size_t start, FindStart(segments));
  next_sequence_ = segments[start].first_sequence;
  for (const Segment& it : std::span(segments).subspan(start)) {
    const bool last = &it == &segments.back();
    if (it.first_sequence != next_sequence_)
      return Fail(ErrorCode::kCorrupt,
                  "a log file before " + it.path + " is missing");
    BOOST_OUTCOME_TRY(const std::string bytes, ReadSegment(it));
    auto scan = ScanBatches(bytes, it.first_sequence, last);
    if (!scan)
      return Fail(scan.error().code, it.path + ": " + scan.error().message);
    for (const std::string_view payload : scan.value().payloads) {
      BOOST_OUTCOME_TRY(const Persist persist, DecodePersist(payload));
      BOOST_OUTCOME_TRY(ApplyBatch(persist, recovered));
      ++next_sequence_;
    }
    if (last) {
      BOOST_OUTCOME_TRY(TruncateTail(it, scan.value().valid_bytes));
    }
  }
  return outcome::success();
}

template <typename File>
Result<void> BasicFileStore<File>::TruncateTail(const Segment& segment,
                                                std::size_t valid_bytes) {
  BOOST_OUTCOME_TRY(segment_, File::OpenForAppend(segment.path));
  BOOST_OUTCOME_TRY(segment_.Truncate(valid_bytes));
  BOOST_OUTCOME_TRY(segment_.Sync());
  segment_bytes_ = valid_bytes;
  return SyncFolder<File>(settings_.folder);
}

template <typename File>
Result<void> BasicFileStore<File>::LoadSnapshot(RecoveredState& recovered) {
  if (!recovered.snapshot)
    return outcome::success();
  const LogIndex index = recovered.snapshot->index;
  const std::string path =
      settings_.folder + "/" + NumberedName(kSnapshotPrefix, index);
  auto payload = ReadSingleBatch(
      path, index, settings_.max_snapshot_bytes + kMaxIdentityBytes);
  if (!payload)
    return Fail(ErrorCode::kCorrupt, path + ": " + payload.error().message);
  BOOST_OUTCOME_TRY(Snapshot snapshot, DecodeSnapshot(payload.value()));
  if (snapshot.index != index || snapshot.term != recovered.snapshot->term)
    return Fail(ErrorCode::kCorrupt, path + " is not the log's snapshot");
  recovered.snapshot = std::make_shared<const Snapshot>(std::move(snapshot));
  return outcome::success();
}

template <typename File>
Result<void> BasicFileStore<File>::WriteBatch(const Persist& persist) {
  const std::string batch = FrameBatch(next_sequence_, EncodePersist(persist));
  if (batch.size() > settings_.max_batch_bytes)
    return Fail(ErrorCode::kTooLarge, "the batch is too large");
  if (persist.snapshot) {
    const LogIndex index = persist.snapshot->index;
    BOOST_OUTCOME_TRY(WriteFileAtomically<File>(
        settings_.folder, NumberedName(kSnapshotPrefix, index),
        FrameBatch(index, EncodeSnapshot(*persist.snapshot))));
  }
  if (persist.snapshot || segment_bytes_ > settings_.max_segment_bytes) {
    BOOST_OUTCOME_TRY(StartSegment());
  }
  const std::uint64_t sequence = next_sequence_;
  BOOST_OUTCOME_TRY(segment_.Write(batch));
  BOOST_OUTCOME_TRY(segment_.SyncData());
  segment_bytes_ += batch.size();
  ++next_sequence_;
  if (persist.snapshot)
    RemoveObsoleteFiles(sequence, persist.snapshot->index);
  return outcome::success();
}

template <typename File>
Result<void> BasicFileStore<File>::StartSegment() {
  BOOST_OUTCOME_TRY(segment_, File::OpenForAppend(SegmentPath(next_sequence_)));
  segment_bytes_ = 0;
  return SyncFolder<File>(settings_.folder);
}

template <typename File>
void BasicFileStore<File>::RemoveObsoleteFiles(std::uint64_t first_sequence,
                                               LogIndex snapshot_index) {
  // Errors are ignored and nothing is synced: files that remain, or are there
  // again after a loss of power, do no harm, and the next snapshot tries again
  // to remove them.
  std::error_code ec;
  std::vector<std::filesystem::path> outdated;
  for (const auto& it :
       std::filesystem::directory_iterator(settings_.folder, ec)) {
    const std::string name = it.path().filename().string();
    const auto segment = ParseNumber(name, kSegmentPrefix);
    const auto snapshot = ParseNumber(name, kSnapshotPrefix);
    if (name.ends_with(kTemporarySuffix) ||
        (segment && *segment < first_sequence) ||
        (snapshot && *snapshot < snapshot_index)) {
      outdated.push_back(it.path());
    }
  }
  for (const std::filesystem::path& it : outdated)
    static_cast<void>(File::Remove(it.string()));
}

template <typename File>
std::string BasicFileStore<File>::SegmentPath(
    std::uint64_t first_sequence) const {
  return settings_.folder + "/" + NumberedName(kSegmentPrefix, first_sequence);
}

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_BASIC_FILE_STORE_H_
