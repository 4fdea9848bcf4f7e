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

/// Writes the file `name` in `folder` through a temporary file and a rename,
/// and syncs both, so that even after a power failure the file either is
/// complete or was not changed.
Result<void> WriteFileAtomically(const std::string& folder,
                                 const std::string& name,
                                 std::string_view bytes);

/// Syncs the directory entries of `folder`.
Result<void> SyncFolder(const std::string& folder);

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_POSIX_FILE_H_
