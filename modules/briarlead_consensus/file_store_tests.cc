#include "briarlead_consensus/file_store.h"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>
#include <vector>

#include "briarlead_consensus/batch_format.h"
#include "briarlead_consensus/test_cluster.h"

#include <CppUTest/TestHarness.h>

namespace briarlead::consensus {

namespace {

namespace fs = std::filesystem;

constexpr std::uint64_t kSeed = 7;

}  // namespace

TEST_GROUP(FileStore) {
  fs::path root_;
  FileStoreSettings settings_;
  const Membership self_{{{HostId("host0"), 7}}, {}};

  void setup() override {
    std::string name = fs::temp_directory_path() / "briarlead_storeXXXXXX";
    root_ = mkdtemp(name.data());
    settings_.folder = root_ / "consensus";
    settings_.cluster = ClusterId("c");
    settings_.host = HostId("host0");
  }

  void teardown() override {
    fs::remove_all(root_);
  }

  void CreateStore() {
    CHECK_TRUE(FileStore(settings_).Create(7, self_));
  }

  /// Returns a Persist command with `n` entries from index `first` on.
  static Persist Entries(LogIndex first, std::size_t n, Term term) {
    Persist persist;
    persist.hard_state = {term, {HostId("host0"), 7}};
    for (std::size_t it = 0; it < n; ++it) {
      persist.entries.push_back({first + it,
                                 term,
                                 EntryKind::kCommand,
                                 "payload " + std::to_string(first + it),
                                 {}});
    }
    return persist;
  }

  /// Writes entries 2 to 1 + `n`, each in its own batch.
  void WriteEntries(std::size_t n) {
    FileStore store(settings_);
    CHECK_TRUE(store.Open());
    for (std::size_t it = 0; it < n; ++it)
      CHECK_TRUE(store.Write(Entries(2 + it, 1, 3)));
  }

  /// Returns the store's files whose names start with `prefix`, in name order.
  std::vector<fs::path> Files(const std::string& prefix) const {
    std::vector<fs::path> files;
    for (const auto& it : fs::directory_iterator(settings_.folder)) {
      if (it.path().filename().string().starts_with(prefix))
        files.push_back(it.path());
    }
    std::sort(files.begin(), files.end());
    return files;
  }

  static std::string Read(const fs::path& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
  }

  static void Overwrite(const fs::path& path, const std::string& bytes) {
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
  }

  /// Checks that the store fails to open; returns the error's code.
  ErrorCode OpenError() const {
    FileStore store(settings_);
    const auto opened = store.Open();
    CHECK_TRUE(opened.has_error());
    return opened.error().code;
  }

  /// Checks that the store opens and has the entries 1 to `last`.
  void CheckOpensWithEntries(LogIndex last) const {
    FileStore store(settings_);
    const auto opened = store.Open();
    CHECK_TRUE(opened.has_value());
    LONGS_EQUAL(last, opened.value().entries.size());
    for (LogIndex it = 2; it <= last; ++it) {
      STRCMP_EQUAL(("payload " + std::to_string(it)).c_str(),
                   opened.value().entries[it - 1].payload.c_str());
    }
  }
};

TEST(FileStore, ReopensWithWhatWasWritten) {
  CreateStore();
  WriteEntries(20);
  {
    FileStore store(settings_);
    const auto opened = store.Open();
    CHECK_TRUE(opened.has_value());
    CHECK_TRUE(opened.value().identity.replica == self_.voters.front());
    LONGS_EQUAL(3, opened.value().hard_state.term);
    CHECK_TRUE(opened.value().entries.front().membership == self_);
    Persist truncating = Entries(10, 2, 4);
    truncating.truncate_from = 10;
    CHECK_TRUE(store.Write(truncating));
  }
  CheckOpensWithEntries(11);
}

TEST(FileStore, RejectsFolderOfAnotherHostOrCluster) {
  CreateStore();
  FileStoreSettings own = settings_;
  settings_.host = HostId("host1");
  CHECK_TRUE(OpenError() == ErrorCode::kConflict);
  settings_ = own;
  settings_.cluster = ClusterId("d");
  CHECK_TRUE(OpenError() == ErrorCode::kConflict);
}

TEST(FileStore, RefusesToCreateAFolderTwiceOrToOpenItTwice) {
  CreateStore();
  CHECK_TRUE(FileStore(settings_).Create(8, {}).error().code ==
             ErrorCode::kConflict);
  FileStore first(settings_);
  CHECK_TRUE(first.Open());
  CHECK_TRUE(OpenError() == ErrorCode::kConflict);
}

TEST(FileStore, TruncatesATornTailOfAnyLength) {
  CreateStore();
  WriteEntries(4);
  const fs::path log = Files("log-").front();
  const std::string whole = Read(log);
  WriteEntries(0);
  {
    FileStore store(settings_);
    CHECK_TRUE(store.Open());
    CHECK_TRUE(store.Write(Entries(6, 1, 3)));
  }
  const std::string longer = Read(log);
  for (std::size_t it = whole.size(); it < longer.size(); ++it) {
    Overwrite(log, longer.substr(0, it));
    CheckOpensWithEntries(5);
    LONGS_EQUAL(whole.size(), fs::file_size(log));
  }
  Overwrite(log, whole + std::string(longer.size() - whole.size(), '\0'));
  CheckOpensWithEntries(5);
}

TEST(FileStore, ReportsAnyFlippedBitAsCorrupt) {
  CreateStore();
  WriteEntries(3);
  const fs::path log = Files("log-").front();
  const std::string whole = Read(log);
  for (std::size_t it = 0; it < whole.size(); ++it) {
    std::string flipped = whole;
    flipped[it] = static_cast<char>(flipped[it] ^ 0x10);
    Overwrite(log, flipped);
    CHECK_TRUE(OpenError() == ErrorCode::kCorrupt);
  }
}

TEST(FileStore, SnapshotReplacesTheLogBeforeIt) {
  settings_.max_segment_bytes = 512;
  CreateStore();
  WriteEntries(40);
  CHECK_TRUE(Files("log-").size() > 3);
  {
    FileStore store(settings_);
    CHECK_TRUE(store.Open());
    Persist persist = Entries(31, 11, 3);
    persist.snapshot = std::make_shared<const Snapshot>(
        Snapshot{30, 3, self_, std::string(100000, 'x')});
    CHECK_TRUE(store.Write(persist));
    LONGS_EQUAL(1, Files("log-").size());
    CHECK_TRUE(store.Write(Entries(42, 1, 3)));
  }
  FileStore store(settings_);
  const auto opened = store.Open();
  CHECK_TRUE(opened.has_value());
  LONGS_EQUAL(100000, opened.value().snapshot->data.size());
  LONGS_EQUAL(31, opened.value().entries.front().index);
  LONGS_EQUAL(42, opened.value().entries.back().index);
}

TEST(FileStore, RandomWritesReopenWithTheStateOfAMemoryStore) {
  settings_.max_segment_bytes = 2000;
  CreateStore();
  RandomSource random(kSeed);
  MemoryStore model({settings_.cluster, self_.voters.front()}, self_);
  LogIndex last = 1;
  LogIndex base = 0;
  for (int round = 0; round < 100; ++round) {
    FileStore store(settings_);
    const auto opened = store.Open();
    CHECK_TRUE(opened.has_value());
    const RecoveredState& expected = model.durable();
    CHECK_TRUE(opened.value().hard_state == expected.hard_state);
    CHECK_TRUE(opened.value().entries == expected.entries);
    CHECK_TRUE(!expected.snapshot ||
               *opened.value().snapshot == *expected.snapshot);
    for (std::uint64_t it = random.Below(5); it > 0; --it) {
      const Term term = 1 + static_cast<Term>(round);
      LogIndex from = last + 1;
      const std::uint64_t kind = random.Below(4);
      if (kind == 0)
        from = base + 1 + random.Below(last - base + 1);
      last = from - 1 + random.Below(8);
      Persist persist = Entries(from, last + 1 - from, term);
      persist.truncate_from = kind == 0 ? from : 0;
      if (kind == 1) {
        base = last;
        persist.entries.clear();
        persist.snapshot = std::make_shared<const Snapshot>(
            Snapshot{base, term, self_, std::to_string(base)});
      }
      CHECK_TRUE(store.Write(persist));
      model.BeginWrite(persist);
      model.Sync();
    }
  }
}

// The snapshot file is written before the new segment that refers to it. After
// a crash in between, the old log must still be used.
TEST(FileStore, CrashBetweenSnapshotAndLogKeepsTheOlderState) {
  CreateStore();
  WriteEntries(4);
  const fs::path old_log = Files("log-").front();
  const std::string old_bytes = Read(old_log);
  {
    FileStore store(settings_);
    CHECK_TRUE(store.Open());
    Persist persist;
    persist.snapshot =
        std::make_shared<const Snapshot>(Snapshot{5, 3, self_, "state"});
    CHECK_TRUE(store.Write(persist));
  }
  Overwrite(old_log, old_bytes);
  const fs::path new_log = Files("log-").back();
  const std::string new_bytes = Read(new_log);
  for (std::size_t it = 0; it < new_bytes.size(); ++it) {
    Overwrite(new_log, new_bytes.substr(0, it));
    CheckOpensWithEntries(5);
  }
}

TEST(FileStore, OldLogIsKeptUntilTheNewOneIsWritten) {
  CreateStore();
  WriteEntries(4);
  const fs::path blocker = settings_.folder + "/log-00000000000000000006";
  {
    FileStore store(settings_);
    CHECK_TRUE(store.Open());
    fs::create_directory(blocker);
    Persist persist;
    persist.snapshot =
        std::make_shared<const Snapshot>(Snapshot{5, 3, self_, "state"});
    CHECK_TRUE(store.Write(persist).has_error());
    CHECK_TRUE(store.Write(Entries(6, 1, 3)).has_error());
  }
  fs::remove(blocker);
  CheckOpensWithEntries(5);
}

TEST(FileStore, ZeroedSectorIsCorruptBeforeALaterBatchButTornInTheLastOne) {
  CreateStore();
  {
    FileStore store(settings_);
    CHECK_TRUE(store.Open());
    for (std::size_t it = 0; it < 2; ++it)
      CHECK_TRUE(store.Write(Entries(2 + 40 * it, 40, 3)));
  }
  const fs::path log = Files("log-").front();
  const std::string whole = Read(log);
  const std::string zeros(kSectorBytes, '\0');
  // Sector 1 is part of the first of the two batches.
  Overwrite(log, std::string(whole).replace(kSectorBytes, zeros.size(), zeros));
  CHECK_TRUE(OpenError() == ErrorCode::kCorrupt);
  const std::size_t last_whole_sector = whole.size() / kSectorBytes - 1;
  Overwrite(log, std::string(whole).replace(last_whole_sector * kSectorBytes,
                                            zeros.size(), zeros));
  CheckOpensWithEntries(41);
}

TEST(FileStore, ReportsAMissingSegmentWithoutEntries) {
  settings_.max_segment_bytes = 1;
  CreateStore();
  {
    FileStore store(settings_);
    CHECK_TRUE(store.Open());
    for (Term it = 2; it < 6; ++it)
      CHECK_TRUE(store.Write(Entries(0, 0, it)));
  }
  fs::remove(Files("log-")[2]);
  CHECK_TRUE(OpenError() == ErrorCode::kCorrupt);
}

TEST(FileStore, ReportsMissingAndDamagedSegments) {
  settings_.max_segment_bytes = 128;
  CreateStore();
  WriteEntries(20);
  const std::vector<fs::path> logs = Files("log-");
  const std::string middle = Read(logs[2]);
  fs::remove(logs[2]);
  CHECK_TRUE(OpenError() == ErrorCode::kCorrupt);
  Overwrite(logs[2], middle.substr(0, middle.size() - 1));
  CHECK_TRUE(OpenError() == ErrorCode::kCorrupt);
  for (const fs::path& it : logs)
    fs::remove(it);
  CHECK_TRUE(OpenError() == ErrorCode::kCorrupt);
}

TEST(FileStore, ReportsADamagedSnapshot) {
  CreateStore();
  {
    FileStore store(settings_);
    CHECK_TRUE(store.Open());
    Persist persist;
    persist.snapshot =
        std::make_shared<const Snapshot>(Snapshot{1, 1, self_, "state"});
    CHECK_TRUE(store.Write(persist));
  }
  const fs::path path = Files("snapshot-").front();
  std::string bytes = Read(path);
  bytes[bytes.size() - 2] ^= 1;
  Overwrite(path, bytes);
  CHECK_TRUE(OpenError() == ErrorCode::kCorrupt);
  fs::remove(path);
  CHECK_TRUE(OpenError() == ErrorCode::kCorrupt);
}

}  // namespace briarlead::consensus
