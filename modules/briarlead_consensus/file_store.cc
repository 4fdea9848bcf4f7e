#include "briarlead_consensus/file_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <memory>
#include <optional>
#include <string_view>
#include <system_error>
#include <utility>

#include "briarlead_consensus/batch_format.h"
#include "briarlead_consensus/codec.h"

namespace briarlead::consensus {

namespace {

namespace fs = std::filesystem;

constexpr std::string_view kIdentityName = "identity";
constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::string_view kTemporarySuffix = ".tmp";
constexpr std::size_t kMaxIdentityBytes = 4096;
constexpr std::uint64_t kFirstSequence = 1;

/// Returns `prefix` followed by the number with leading zeros, so that names
/// sort by number.
std::string NumberedName(std::string_view prefix, std::uint64_t number) {
  return fmt::format("{}{:020}", prefix, number);
}

/// Returns the number in a file name that NumberedName() made with `prefix`;
/// nullopt if the name has another form.
std::optional<std::uint64_t> ParseNumber(std::string_view name,
                                         std::string_view prefix) {
  if (!name.starts_with(prefix))
    return std::nullopt;
  name.remove_prefix(prefix.size());
  std::uint64_t number = 0;
  const auto [end, ec] =
      std::from_chars(name.data(), name.data() + name.size(), number);
  if (ec != std::errc() || end != name.data() + name.size())
    return std::nullopt;
  return number;
}

/// Returns the payload of a file that must contain exactly one batch.
Result<std::string> ReadSingleBatch(const std::string& path,
                                    std::uint64_t sequence,
                                    std::size_t max_bytes) {
  BOOST_OUTCOME_TRY(const std::string bytes, ReadFile(path, max_bytes));
  BOOST_OUTCOME_TRY(const BatchScan scan, ScanBatches(bytes, sequence, false));
  if (scan.payloads.size() != 1)
    return Fail(ErrorCode::kCorrupt,
                path + " doesn't contain exactly one batch");
  return std::string(scan.payloads.front());
}

/// Applies one batch of the log to `state`.
Result<void> ApplyBatch(const Persist& persist, RecoveredState& state) {
  state.hard_state = persist.hard_state;
  if (persist.snapshot) {
    state.snapshot = persist.snapshot;
    state.entries.clear();
  }
  if (persist.truncate_from != 0) {
    std::erase_if(state.entries, [&](const LogEntry& it) {
      return it.index >= persist.truncate_from;
    });
  }
  for (const LogEntry& it : persist.entries) {
    const LogIndex base = state.snapshot ? state.snapshot->index : 0;
    if (it.index != base + state.entries.size() + 1)
      return Fail(ErrorCode::kCorrupt, "the log has a gap");
    state.entries.push_back(it);
  }
  return outcome::success();
}

}  // namespace

FileStore::FileStore(FileStoreSettings settings)
    : settings_(std::move(settings)) {}

bool FileStore::Exists() const {
  std::error_code ec;
  return fs::exists(settings_.folder, ec) || ec;
}

Result<void> FileStore::Create(std::uint64_t incarnation,
                               const Membership& initial_members) {
  if (incarnation == 0)
    return Fail(ErrorCode::kInvalidArgument, "the incarnation must be random");
  if (Exists())
    return Fail(ErrorCode::kConflict, settings_.folder + " already exists");
  // The folder gets its final name only after all its content is synced, so
  // that an interrupted Create() leaves no incomplete store.
  const std::string folder = settings_.folder + ".new";
  std::error_code ec;
  fs::remove_all(folder, ec);
  if (!fs::create_directory(folder, ec))
    return Fail(ErrorCode::kIo, "can't create " + folder + ": " + ec.message());
  const Identity identity{settings_.cluster, {settings_.host, incarnation}};
  BOOST_OUTCOME_TRY(WriteFileAtomically(
      folder, std::string(kIdentityName),
      FrameBatch(kFirstSequence, EncodeIdentity(identity))));
  Persist first;
  if (!initial_members.voters.empty()) {
    first.hard_state.term = 1;
    first.entries.push_back(
        LogEntry{1, 1, EntryKind::kMembership, {}, initial_members});
  }
  BOOST_OUTCOME_TRY(
      WriteFileAtomically(folder, NumberedName(kSegmentPrefix, kFirstSequence),
                          FrameBatch(kFirstSequence, EncodePersist(first))));
  fs::rename(folder, settings_.folder, ec);
  if (ec)
    return Fail(ErrorCode::kIo, "rename " + folder + ": " + ec.message());
  return SyncFolder(fs::path(folder).parent_path().string());
}

Result<RecoveredState> FileStore::Open() {
  RecoveredState recovered;
  BOOST_OUTCOME_TRY(LoadIdentity(recovered));
  BOOST_OUTCOME_TRY(const std::vector<Segment> segments, ListSegments());
  BOOST_OUTCOME_TRY(Replay(segments, recovered));
  BOOST_OUTCOME_TRY(LoadSnapshot(recovered));
  return recovered;
}

Result<void> FileStore::Write(const Persist& persist) {
  if (failed_ || !segment_.is_open())
    return Fail(ErrorCode::kIo, "the store is not open or has failed");
  Result<void> written = WriteBatch(persist);
  failed_ = written.has_error();
  return written;
}

Result<void> FileStore::LoadIdentity(RecoveredState& recovered) {
  const std::string path = settings_.folder + "/" + std::string(kIdentityName);
  BOOST_OUTCOME_TRY(identity_file_, PosixFile::OpenForRead(path));
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

Result<std::vector<FileStore::Segment>> FileStore::ListSegments() const {
  std::vector<Segment> segments;
  std::error_code ec;
  for (const auto& it : fs::directory_iterator(settings_.folder, ec)) {
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

Result<void> FileStore::Replay(const std::vector<Segment>& segments,
                               RecoveredState& recovered) {
  // Set at the first batch that needs no earlier one: the first batch of the
  // store or one with a snapshot. Files before it may be missing, since
  // RemoveObsoleteFiles() can have been interrupted.
  bool found_start = false;
  for (const Segment& it : segments) {
    const bool last = &it == &segments.back();
    if (found_start && it.first_sequence != next_sequence_)
      return Fail(ErrorCode::kCorrupt,
                  "a log file before " + it.path + " is missing");
    next_sequence_ = it.first_sequence;
    BOOST_OUTCOME_TRY(const std::string bytes,
                      ReadFile(it.path, settings_.max_segment_bytes +
                                            settings_.max_batch_bytes));
    auto scan = ScanBatches(bytes, it.first_sequence, last);
    if (!scan)
      return Fail(scan.error().code, it.path + ": " + scan.error().message);
    for (const std::string_view payload : scan.value().payloads) {
      BOOST_OUTCOME_TRY(const Persist persist, DecodePersist(payload));
      found_start |=
          next_sequence_ == kFirstSequence || persist.snapshot != nullptr;
      if (found_start) {
        BOOST_OUTCOME_TRY(ApplyBatch(persist, recovered));
      }
      ++next_sequence_;
    }
    if (last) {
      BOOST_OUTCOME_TRY(TruncateTail(it, scan.value().valid_bytes));
    }
  }
  if (!found_start)
    return Fail(ErrorCode::kCorrupt, "the start of the log is missing");
  return outcome::success();
}

Result<void> FileStore::TruncateTail(const Segment& segment,
                                     std::size_t valid_bytes) {
  BOOST_OUTCOME_TRY(segment_, PosixFile::OpenForAppend(segment.path));
  BOOST_OUTCOME_TRY(segment_.Truncate(valid_bytes));
  BOOST_OUTCOME_TRY(segment_.Sync());
  segment_bytes_ = valid_bytes;
  return SyncFolder(settings_.folder);
}

Result<void> FileStore::LoadSnapshot(RecoveredState& recovered) {
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

Result<void> FileStore::WriteBatch(const Persist& persist) {
  const std::string batch = FrameBatch(next_sequence_, EncodePersist(persist));
  if (batch.size() > settings_.max_batch_bytes)
    return Fail(ErrorCode::kTooLarge, "the batch is too large");
  if (persist.snapshot) {
    const LogIndex index = persist.snapshot->index;
    BOOST_OUTCOME_TRY(WriteFileAtomically(
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

Result<void> FileStore::StartSegment() {
  BOOST_OUTCOME_TRY(segment_,
                    PosixFile::OpenForAppend(SegmentPath(next_sequence_)));
  segment_bytes_ = 0;
  return SyncFolder(settings_.folder);
}

void FileStore::RemoveObsoleteFiles(std::uint64_t first_sequence,
                                    LogIndex snapshot_index) {
  // Errors are ignored: files that remain do no harm, and the next snapshot
  // tries again to remove them.
  std::error_code ec;
  std::vector<fs::path> outdated;
  for (const auto& it : fs::directory_iterator(settings_.folder, ec)) {
    const std::string name = it.path().filename().string();
    const auto segment = ParseNumber(name, kSegmentPrefix);
    const auto snapshot = ParseNumber(name, kSnapshotPrefix);
    if (name.ends_with(kTemporarySuffix) ||
        (segment && *segment < first_sequence) ||
        (snapshot && *snapshot < snapshot_index)) {
      outdated.push_back(it.path());
    }
  }
  // The oldest files are removed first, so that an interruption leaves no gap
  // in the sequence of segments.
  std::sort(outdated.begin(), outdated.end());
  for (const fs::path& it : outdated)
    fs::remove(it, ec);
}

std::string FileStore::SegmentPath(std::uint64_t first_sequence) const {
  return settings_.folder + "/" + NumberedName(kSegmentPrefix, first_sequence);
}

}  // namespace briarlead::consensus
