#ifndef BRIARLEAD_APP_SETTINGS_FILE_H_
#define BRIARLEAD_APP_SETTINGS_FILE_H_

#include <string>
#include <string_view>

#include "briarlead_core/error.h"

namespace briarlead {

/// Reads a whole file of at most `max_bytes`. Errors: kNotFound, kTooLarge,
/// kIo, each with the file's name.
Result<std::string> ReadWholeFile(const std::string& path,
                                  std::size_t max_bytes);

/// Prints `error` as one line for the command.
void PrintError(std::string_view command, const Error& error);

}  // namespace briarlead

#endif  // BRIARLEAD_APP_SETTINGS_FILE_H_
