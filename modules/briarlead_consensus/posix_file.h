#ifndef BRIARLEAD_CONSENSUS_POSIX_FILE_H_
#define BRIARLEAD_CONSENSUS_POSIX_FILE_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "briarlead_core/error.h"

namespace briarlead::consensus {

/// Owns a file descriptor and closes it in the destructor.
class PosixFile {
 public:
  PosixFile() = default;
  ~PosixFile();
  PosixFile(PosixFile&& other) noexcept;
  PosixFile& operator=(PosixFile&& other) noexcept;

  /// Opens `path` for appending and creates it if it doesn't exist.
  static Result<PosixFile> OpenForAppend(const std::string& path);

  /// Opens `path`, which may be a folder, for reading.
  static Result<PosixFile> OpenForRead(const std::string& path);

  /// Renames a file or folder; one named `to` is replaced.
  static Result<void> Rename(const std::string& from, const std::string& to);
  /// Removes the file `path`. Error: kNotFound.
  static Result<void> Remove(const std::string& path);
  /// Creates the folder `path`.
  static Result<void> MakeFolder(const std::string& path);

  [[nodiscard]] bool is_open() const { return fd_ >= 0; }

  /// Writes all of `bytes`.
  Result<void> Write(std::string_view bytes);
  /// Syncs the content and the size.
  Result<void> SyncData();
  /// Syncs the content and all metadata; for a folder, its directory entries.
  Result<void> Sync();
  /// Truncates the file to `size` bytes.
  Result<void> Truncate(std::size_t size);
  /// Locks the file exclusively, without waiting. Error: kConflict when another
  /// process holds the lock.
  Result<void> Lock();
  /// Reads the whole file. Error: kTooLarge if it exceeds `max_bytes`.
  Result<std::string> ReadAll(std::size_t max_bytes);

 private:
  explicit PosixFile(int fd) : fd_(fd) {}

  int fd_ = -1;
};

/// Reads the whole file `path`. Errors: kNotFound, kTooLarge, kIo.
Result<std::string> ReadFile(const std::string& path, std::size_t max_bytes);

/// Syncs the directory entries of `folder`.
template <typename File>
Result<void> SyncFolder(const std::string& folder) {
  BOOST_OUTCOME_TRY(File file, File::OpenForRead(folder));
  return file.Sync();
}

/// Writes the file `name` in `folder` through a temporary file and a rename,
/// and syncs both, so that even after a power failure the file either is
/// complete or was not changed.
template <typename File>
Result<void> WriteFileAtomically(const std::string& folder,
                                 const std::string& name,
                                 std::string_view bytes) {
  const std::string path = folder + "/" + name;
  const std::string temporary = path + ".tmp";
  const Result<void> removed = File::Remove(temporary);
  if (!removed && removed.error().code != ErrorCode::kNotFound)
    return removed.error();
  {
    BOOST_OUTCOME_TRY(File file, File::OpenForAppend(temporary));
    BOOST_OUTCOME_TRY(file.Write(bytes));
    BOOST_OUTCOME_TRY(file.Sync());
  }
  BOOST_OUTCOME_TRY(File::Rename(temporary, path));
  return SyncFolder<File>(folder);
}

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_POSIX_FILE_H_
