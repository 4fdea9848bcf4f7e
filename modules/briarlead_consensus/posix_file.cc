#include "briarlead_consensus/posix_file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <system_error>
#include <utility>

namespace briarlead::consensus {

namespace {

constexpr mode_t kFileMode = 0640;
constexpr mode_t kFolderMode = 0750;

/// Returns an error from `errno` after the failed call `what`: kNotFound for a
/// missing file, otherwise kIo.
auto FailWithErrno(const std::string& what) {
  const ErrorCode code =
      errno == ENOENT ? ErrorCode::kNotFound : ErrorCode::kIo;
  return Fail(code, what + ": " + std::generic_category().message(errno));
}

Result<void> CheckCall(int return_code, const char* call) {
  if (return_code != 0)
    return FailWithErrno(call);
  return outcome::success();
}

}  // namespace

PosixFile::~PosixFile() {
  if (fd_ >= 0)
    close(fd_);
}

PosixFile::PosixFile(PosixFile&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)) {}

PosixFile& PosixFile::operator=(PosixFile&& other) noexcept {
  std::swap(fd_, other.fd_);
  return *this;
}

Result<PosixFile> PosixFile::OpenForAppend(const std::string& path) {
  const int fd =
      open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (fd < 0)
    return FailWithErrno("open " + path);
  return PosixFile(fd);
}

Result<PosixFile> PosixFile::OpenForRead(const std::string& path) {
  const int fd = open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0)
    return FailWithErrno("open " + path);
  return PosixFile(fd);
}

Result<void> PosixFile::Rename(const std::string& from, const std::string& to) {
  return CheckCall(std::rename(from.c_str(), to.c_str()),
                   ("rename " + from).c_str());
}

Result<void> PosixFile::Remove(const std::string& path) {
  return CheckCall(unlink(path.c_str()), ("remove " + path).c_str());
}

Result<void> PosixFile::MakeFolder(const std::string& path) {
  return CheckCall(mkdir(path.c_str(), kFolderMode),
                   ("make folder " + path).c_str());
}

Result<void> PosixFile::Write(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = write(fd_, bytes.data(), bytes.size());
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0)
      return FailWithErrno("write");
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return outcome::success();
}

Result<void> PosixFile::SyncData() {
  return CheckCall(fdatasync(fd_), "fdatasync");
}

Result<void> PosixFile::Sync() {
  return CheckCall(fsync(fd_), "fsync");
}

Result<void> PosixFile::Truncate(std::size_t size) {
  return CheckCall(ftruncate(fd_, static_cast<off_t>(size)), "ftruncate");
}

Result<void> PosixFile::Lock() {
  if (flock(fd_, LOCK_EX | LOCK_NB) == 0)
    return outcome::success();
  if (errno == EWOULDBLOCK)
    return Fail(ErrorCode::kConflict, "another process has the file");
  return FailWithErrno("flock");
}

Result<std::string> PosixFile::ReadAll(std::size_t max_bytes) {
  struct stat info {};
  if (fstat(fd_, &info) != 0)
    return FailWithErrno("fstat");
  const auto size = static_cast<std::size_t>(info.st_size);
  if (size > max_bytes)
    return Fail(ErrorCode::kTooLarge, "the file is larger than the limit");
  std::string bytes(size, '\0');
  std::size_t done = 0;
  while (done < size) {
    const ssize_t n =
        pread(fd_, bytes.data() + done, size - done, static_cast<off_t>(done));
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0)
      return FailWithErrno("read");
    if (n == 0)
      return Fail(ErrorCode::kIo, "the file shrank while it was read");
    done += static_cast<std::size_t>(n);
  }
  return bytes;
}

Result<std::string> ReadFile(const std::string& path, std::size_t max_bytes) {
  BOOST_OUTCOME_TRY(PosixFile file, PosixFile::OpenForRead(path));
  return file.ReadAll(max_bytes);
}

}  // namespace briarlead::consensus
