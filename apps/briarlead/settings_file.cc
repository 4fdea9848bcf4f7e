#include "briarlead/settings_file.h"

#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <iterator>

namespace briarlead {

Result<std::string> ReadWholeFile(const std::string& path,
                                  std::size_t max_bytes) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream)
    return Fail(ErrorCode::kNotFound, path + ": can't be opened");
  std::string text(max_bytes + 1, '\0');
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (stream.bad())
    return Fail(ErrorCode::kIo, path + ": can't be read");
  text.resize(static_cast<std::size_t>(stream.gcount()));
  if (text.size() > max_bytes)
    return Fail(ErrorCode::kTooLarge,
                fmt::format("{}: longer than {} bytes", path, max_bytes));
  return text;
}

void PrintError(std::string_view command, const Error& error) {
  fmt::print(stderr, "briarlead {}: {}\n", command, error.message);
}

}  // namespace briarlead
