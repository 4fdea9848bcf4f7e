#ifndef BRIARLEAD_CONSENSUS_RECORDED_FILE_H_
#define BRIARLEAD_CONSENSUS_RECORDED_FILE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "briarlead_consensus/posix_file.h"

namespace briarlead::consensus {

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
inline void Rename(const Renamed& change,
                   std::map<std::string, FileId>& names) {
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

/// Returns the recorder of the running test.
inline DiskRecorder& Recorder() {
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

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_RECORDED_FILE_H_
