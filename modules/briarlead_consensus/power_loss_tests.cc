#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "briarlead_consensus/basic_file_store.h"
#include "briarlead_consensus/file_store.h"
#include "briarlead_core/random_source.h"

#include <CppUTest/TestHarness.h>

namespace briarlead::consensus {

namespace {

namespace fs = std::filesystem;

/// A file that outlives its names.
using FileId = std::size_t;

struct Created {
  std::string path;
  FileId file = 0;
};
struct Removed {
  std::string path;
  FileId file = 0;
};
struct Renamed {
  std::string from;
  std::string to;
  std::optional<FileId> file;  ///< Empty for a folder.
};
struct Written {
  FileId file = 0;
  std::size_t offset = 0;
  std::string bytes;
};
struct Truncated {
  FileId file = 0;
  std::size_t size = 0;
};
struct SyncedFile {
  FileId file = 0;
};
struct SyncedFolder {
  std::string path;
};
using DiskChange = std::variant<Created,
                                Removed,
                                Renamed,
                                Written,
                                Truncated,
                                SyncedFile,
                                SyncedFolder>;

/// What is on a disk: the names of its files, and the files' bytes.
struct DiskContent {
  std::map<std::string, FileId> names;
  std::map<FileId, std::string> files;
};

/// Gives a file its new name, or all files in a folder.
void Rename(const Renamed& change, std::map<std::string, FileId>& names) {
  if (change.file.has_value()) {
    const auto it = names.find(change.from);
    if (it != names.end() && it->second == *change.file)
      names.erase(it);
    names[change.to] = *change.file;
    return;
  }
  std::map<std::string, FileId> renamed;
  for (const auto& [path, file] : names) {
    const bool moves = path.starts_with(change.from + "/");
    const std::string name =
        moves ? change.to + path.substr(change.from.size()) : path;
    renamed[name] = file;
  }
  names = std::move(renamed);
}

/// Records all changes of files.
class DiskRecorder {
 public:
  std::vector<DiskChange> changes;
  std::map<std::string, FileId> names;
  std::map<FileId, std::size_t> sizes;
  FileId next_file = 0;

  FileId OnOpened(const std::string& path) {
    const auto it = names.find(path);
    if (it != names.end())
      return it->second;
    const FileId file = next_file++;
    names[path] = file;
    sizes[file] = 0;
    changes.emplace_back(Created{path, file});
    return file;
  }

  void OnRenamed(const std::string& from, const std::string& to) {
    Renamed change{from, to, {}};
    const auto it = names.find(from);
    if (it != names.end())
      change.file = it->second;
    Rename(change, names);
    changes.emplace_back(std::move(change));
  }

  void OnRemoved(const std::string& path) {
    changes.emplace_back(Removed{path, names.at(path)});
    names.erase(path);
  }
};

DiskRecorder& Recorder() {
  static DiskRecorder recorder;
  return recorder;
}

/// A PosixFile whose changes Recorder() notes.
class RecordedFile {
 public:
  RecordedFile() = default;

  static Result<RecordedFile> OpenForAppend(const std::string& path) {
    BOOST_OUTCOME_TRY(PosixFile opened, PosixFile::OpenForAppend(path));
    RecordedFile file;
    file.file_ = std::move(opened);
    file.id_ = Recorder().OnOpened(path);
    return file;
  }

  static Result<RecordedFile> OpenForRead(const std::string& path) {
    BOOST_OUTCOME_TRY(PosixFile opened, PosixFile::OpenForRead(path));
    RecordedFile file;
    file.file_ = std::move(opened);
    file.folder_ = path;
    return file;
  }

  static Result<void> Rename(const std::string& from, const std::string& to) {
    BOOST_OUTCOME_TRY(PosixFile::Rename(from, to));
    Recorder().OnRenamed(from, to);
    return outcome::success();
  }

  static Result<void> Remove(const std::string& path) {
    BOOST_OUTCOME_TRY(PosixFile::Remove(path));
    Recorder().OnRemoved(path);
    return outcome::success();
  }

  static Result<void> MakeFolder(const std::string& path) {
    return PosixFile::MakeFolder(path);
  }

  [[nodiscard]] bool is_open() const { return file_.is_open(); }

  Result<void> Write(std::string_view bytes) {
    std::size_t& size = Recorder().sizes[id_];
    Recorder().changes.emplace_back(Written{id_, size, std::string(bytes)});
    size += bytes.size();
    return file_.Write(bytes);
  }

  Result<void> SyncData() {
    Recorder().changes.emplace_back(SyncedFile{id_});
    return file_.SyncData();
  }

  Result<void> Sync() {
    if (!folder_.empty())
      Recorder().changes.emplace_back(SyncedFolder{folder_});
    else
      Recorder().changes.emplace_back(SyncedFile{id_});
    return outcome::success();
  }

  Result<void> Truncate(std::size_t size) {
    Recorder().sizes[id_] = size;
    Recorder().changes.emplace_back(Truncated{id_, size});
    return file_.Truncate(size);
  }

  Result<void> Lock() { return file_.Lock(); }

 private:
  PosixFile file_;
  std::string folder_;
  FileId id_ = 0;
};

std::string ParentOf(const std::string& path) {
  return path.substr(0, path.rfind('/'));
}

/// Changes that no sync covers yet, by what covers them.
class UnsyncedChanges {
 public:
  explicit UnsyncedChanges(DiskContent content)
      : content_(std::move(content)) {}

  void Add(const DiskChange& change) {
    std::visit([this](const auto& it) { On(it); }, change);
  }

  /// Returns what is on the disk after the power failed: of each change that
  /// isn't synced, `random` decides whether it was kept.
  DiskContent Draw(RandomSource& random) const {
    DiskContent drawn = content_;
    for (const DiskChange& it : pending_) {
      if (std::holds_alternative<Written>(it))
        DrawWritten(std::get<Written>(it), random, drawn);
      else if (random.Below(2) == 0)
        Apply(it, drawn);
    }
    return drawn;
  }

 private:
  void On(const SyncedFile& synced) {
    Settle([&](const DiskChange& it) {
      const auto* written = std::get_if<Written>(&it);
      const auto* truncated = std::get_if<Truncated>(&it);
      return (written != nullptr && written->file == synced.file) ||
             (truncated != nullptr && truncated->file == synced.file);
    });
  }

  void On(const SyncedFolder& synced) {
    Settle([&](const DiskChange& it) {
      const auto* created = std::get_if<Created>(&it);
      const auto* removed = std::get_if<Removed>(&it);
      const auto* renamed = std::get_if<Renamed>(&it);
      return (created != nullptr && ParentOf(created->path) == synced.path) ||
             (removed != nullptr && ParentOf(removed->path) == synced.path) ||
             (renamed != nullptr && ParentOf(renamed->to) == synced.path);
    });
  }

  template <typename Change>
  void On(const Change& change) {
    pending_.emplace_back(change);
  }

  /// Makes the pending changes that `is_synced` names lasting.
  template <typename Predicate>
  void Settle(Predicate is_synced) {
    std::vector<DiskChange> rest;
    for (const DiskChange& it : pending_) {
      if (is_synced(it))
        Apply(it, content_);
      else
        rest.push_back(it);
    }
    pending_ = std::move(rest);
  }

  static void Apply(const DiskChange& change, DiskContent& content) {
    std::visit([&](const auto& it) { ApplyOne(it, content); }, change);
  }
  static void ApplyOne(const Created& it, DiskContent& content) {
    content.names[it.path] = it.file;
    content.files[it.file];
  }
  static void ApplyOne(const Removed& it, DiskContent& content) {
    const auto name = content.names.find(it.path);
    if (name != content.names.end() && name->second == it.file)
      content.names.erase(name);
  }
  static void ApplyOne(const Renamed& it, DiskContent& content) {
    Rename(it, content.names);
  }
  static void ApplyOne(const Written& it, DiskContent& content) {
    std::string& bytes = content.files[it.file];
    bytes.resize(std::max(bytes.size(), it.offset + it.bytes.size()));
    bytes.replace(it.offset, it.bytes.size(), it.bytes);
  }
  static void ApplyOne(const Truncated& it, DiskContent& content) {
    content.files[it.file].resize(it.size);
  }
  static void ApplyOne(const SyncedFile&, DiskContent&) {}
  static void ApplyOne(const SyncedFolder&, DiskContent&) {}

  /// A write is there, missing, or there in some of its sectors.
  static void DrawWritten(const Written& written,
                          RandomSource& random,
                          DiskContent& content) {
    const std::uint64_t kind = random.Below(3);
    if (kind == 0)
      ApplyOne(written, content);
    if (kind != 1)
      return;
    std::size_t begin = 0;
    while (begin < written.bytes.size()) {
      const std::size_t at = written.offset + begin;
      const std::size_t end =
          std::min(written.bytes.size(),
                   (at / kSectorBytes + 1) * kSectorBytes - written.offset);
      if (random.Below(2) == 0) {
        ApplyOne(
            Written{written.file, at, written.bytes.substr(begin, end - begin)},
            content);
      }
      begin = end;
    }
  }

  DiskContent content_;
  std::vector<DiskChange> pending_;
};

/// Returns the seed in the variable BRIARLEAD_SEED, for runs by hand; `seed` if
/// there is none.
std::uint64_t SeedOr(std::uint64_t seed) {
  const char* given = std::getenv("BRIARLEAD_SEED");
  if (given == nullptr)
    return seed;
  const std::string_view text = given;
  std::from_chars(text.data(), text.data() + text.size(), seed);
  return seed;
}

/// Where the changes of one write begin and end among those recorded.
struct WriteSpan {
  std::size_t begin = 0;
  std::size_t end = 0;
};

}  // namespace

TEST_GROUP(PowerLoss) {
  static constexpr int kLives = 30;
  static constexpr int kDrawsPerMoment = 2;

  fs::path root_;
  FileStoreSettings settings_;
  const Membership self_{{{HostId("host0"), 7}}, {}};
  RandomSource random_{SeedOr(11)};
  DiskContent disk_;
  /// States that the store had, the last of them acknowledged.
  std::vector<RecoveredState> states_;
  std::vector<WriteSpan> writes_;
  LogIndex last_ = 1;
  LogIndex base_ = 0;
  Term term_ = 1;

  void setup() override {
    std::string name = fs::temp_directory_path() / "briarlead_powerXXXXXX";
    root_ = mkdtemp(name.data());
    settings_.folder = root_ / "replica";
    settings_.cluster = ClusterId("c");
    settings_.host = HostId("host0");
    settings_.max_segment_bytes = 1500;
    settings_.max_snapshot_bytes = 100000;
    Recorder() = DiskRecorder();
  }

  void teardown() override {
    fs::remove_all(root_);
    Recorder() = DiskRecorder();
  }

  /// Replaces what is below root_ by `content`.
  void Materialize(const DiskContent& content) const {
    for (const auto& it : fs::directory_iterator(root_))
      fs::remove_all(it.path());
    for (const auto& [path, file] : content.names) {
      fs::create_directories(fs::path(path).parent_path());
      const auto bytes = content.files.find(file);
      std::ofstream stream(path, std::ios::binary);
      if (bytes != content.files.end())
        stream << bytes->second;
    }
  }

  /// Makes `content` the disk on which the next life begins.
  void BeginLife(const DiskContent& content) {
    disk_ = content;
    Materialize(content);
    Recorder().changes.clear();
    Recorder().names = content.names;
    Recorder().sizes.clear();
    for (const auto& [file, bytes] : content.files)
      Recorder().sizes[file] = bytes.size();
    writes_.clear();
  }

  DiskContent DrawAt(std::size_t moment) {
    UnsyncedChanges unsynced(disk_);
    for (std::size_t it = 0; it < moment; ++it)
      unsynced.Add(Recorder().changes[it]);
    return unsynced.Draw(random_);
  }

  /// Returns a change that the store may be asked to write next.
  Persist NextPersist() {
    Persist persist;
    persist.hard_state = {++term_, {HostId("host0"), 7}};
    if (random_.Below(4) == 0 && last_ > base_) {
      base_ = last_;
      persist.snapshot = std::make_shared<const Snapshot>(
          Snapshot{base_, term_, self_, std::string(random_.Below(3000), 's')});
      return persist;
    }
    LogIndex from = last_ + 1;
    if (random_.Below(5) == 0 && last_ > base_ + 1) {
      from = last_;
      persist.truncate_from = from;
    }
    const LogIndex count = 1 + random_.Below(4);
    for (LogIndex it = from; it < from + count; ++it) {
      persist.entries.push_back({it,
                                 term_,
                                 EntryKind::kCommand,
                                 std::string(random_.Below(700), 'e'),
                                 {}});
    }
    last_ = from + count - 1;
    return persist;
  }

  /// Opens the store and writes to it; notes each state that it has had.
  void Live() {
    BasicFileStore<RecordedFile> store(settings_);
    const auto opened = store.Open();
    CHECK_TRUE(opened.has_value());
    states_ = {opened.value()};
    const RecoveredState& now = states_.front();
    base_ = now.snapshot ? now.snapshot->index : 0;
    last_ = base_ + now.entries.size();
    for (std::uint64_t it = 1 + random_.Below(12); it > 0; --it) {
      const Persist persist = NextPersist();
      RecoveredState next = states_.back();
      CHECK_TRUE(ApplyBatch(persist, next));
      const std::size_t begin = Recorder().changes.size();
      CHECK_TRUE(store.Write(persist));
      writes_.push_back({begin, Recorder().changes.size()});
      states_.push_back(std::move(next));
    }
  }

  static bool Same(const RecoveredState& one, const RecoveredState& other) {
    if (!(one.hard_state == other.hard_state) ||
        !(one.entries == other.entries) ||
        (one.snapshot == nullptr) != (other.snapshot == nullptr)) {
      return false;
    }
    return !one.snapshot || *one.snapshot == *other.snapshot;
  }

  /// Checks that the store opens with all that was acknowledged at `moment`.
  void CheckOpens(std::size_t moment) const {
    std::size_t acknowledged = 0;
    while (acknowledged < writes_.size() &&
           writes_[acknowledged].end <= moment) {
      ++acknowledged;
    }
    FileStore store(settings_);
    const auto opened = store.Open();
    if (!opened)
      FAIL(opened.error().message.c_str());
    const bool in_flight =
        acknowledged < writes_.size() && writes_[acknowledged].begin < moment;
    CHECK_TRUE(Same(opened.value(), states_[acknowledged]) ||
               (in_flight && Same(opened.value(), states_[acknowledged + 1])));
  }
};

// Guards against hosts whose log couldn't be opened any more after a loss of
// power: of the obsolete files whose removal isn't synced, any may come back.
TEST(PowerLoss, StoreOpensWithAllThatWasAcknowledgedAfterAnyLoss) {
  CHECK_TRUE(FileStore(settings_).Create(7, self_));
  DiskContent content;
  FileId file = 0;
  for (const auto& it : fs::directory_iterator(settings_.folder)) {
    std::ifstream stream(it.path(), std::ios::binary);
    content.names[it.path()] = file;
    content.files[file++] = {std::istreambuf_iterator<char>(stream), {}};
  }
  Recorder().next_file = file;
  for (int life = 0; life < kLives; ++life) {
    BeginLife(content);
    Live();
    const std::size_t moments = Recorder().changes.size() + 1;
    const std::size_t last_moment = random_.Below(moments);
    for (std::size_t moment = 0; moment < moments; ++moment) {
      for (int draw = 0; draw < kDrawsPerMoment; ++draw) {
        const DiskContent drawn = DrawAt(moment);
        Materialize(drawn);
        CheckOpens(moment);
        if (moment == last_moment)
          content = drawn;
      }
    }
  }
}

// Guards against a host that an interrupted first start leaves with a store
// that is neither absent nor whole.
TEST(PowerLoss, InterruptedCreationLeavesNoStoreOrAWholeOne) {
  CHECK_TRUE(BasicFileStore<RecordedFile>(settings_).Create(7, self_));
  const std::size_t moments = Recorder().changes.size() + 1;
  for (std::size_t moment = 0; moment < moments; ++moment) {
    for (int draw = 0; draw < 20; ++draw) {
      Materialize(DrawAt(moment));
      FileStore store(settings_);
      if (!store.Exists()) {
        CHECK_TRUE(moment < moments - 1);
        CHECK_TRUE(store.Create(8, self_));
      }
      const auto opened = store.Open();
      if (!opened)
        FAIL(opened.error().message.c_str());
      LONGS_EQUAL(1, opened.value().entries.size());
    }
  }
}

}  // namespace briarlead::consensus
