#ifndef BRIARLEAD_CONSENSUS_POSIX_FILE_H_
#define BRIARLEAD_CONSENSUS_POSIX_FILE_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "briarlead_core/error.h"

namespace briarlead::consensus {

/// An open file descriptor that is closed at the end of its scope.
class PosixFile {
 public:
  PosixFile() = default;
  ~PosixFile();
  PosixFile(PosixFile&& other) noexcept;
  PosixFile& operator=(PosixFile&& other) noexcept;

  /// Opens `path` to add bytes at its end; makes it when it isn't there.
  static Result<PosixFile> OpenForAppend(const std::string& path);

  /// Opens `path`, which may be a folder, to read.
  static Result<PosixFile> OpenForRead(const std::string& path);

  [[nodiscard]] bool is_open() const { return fd_ >= 0; }

  /// Writes all of `bytes`.
  Result<void> Write(std::string_view bytes);
  /// Syncs the bytes and the size.
  Result<void> SyncData();
  /// Syncs everything, for a folder its names.
  Result<void> Sync();
  /// Cuts the file to `size` bytes.
  Result<void> Truncate(std::size_t size);
  /// Takes the file for this process. Error: kConflict when it is taken.
  Result<void> Lock();
  /// Reads the whole file. Error: kTooLarge beyond `max_bytes`.
  Result<std::string> ReadAll(std::size_t max_bytes);

 private:
  explicit PosixFile(int fd) : fd_(fd) {}

  int fd_ = -1;
};

/// Reads all of `path`. Errors: kNotFound, kTooLarge, kIo.
Result<std::string> ReadFile(const std::string& path, std::size_t max_bytes);

/// Writes `path` by a temporary file, so that it is there whole or not at all,
/// also after a loss of power.
Result<void> WriteFileAtomically(const std::string& folder,
                                 const std::string& name,
                                 std::string_view bytes);

/// Syncs the names in `folder`.
Result<void> SyncFolder(const std::string& folder);

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_POSIX_FILE_H_
