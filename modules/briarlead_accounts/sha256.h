#ifndef BRIARLEAD_ACCOUNTS_SHA256_H_
#define BRIARLEAD_ACCOUNTS_SHA256_H_

#include <string>
#include <string_view>

namespace briarlead {

/// Returns the SHA-256 digest of `bytes` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view bytes);

/// Returns whether `text` has the format that Sha256Hex() returns.
bool IsSha256Hex(std::string_view text);

}  // namespace briarlead

#endif  // BRIARLEAD_ACCOUNTS_SHA256_H_
