#ifndef BRIARLEAD_ACCOUNTS_KEY_INDEX_H_
#define BRIARLEAD_ACCOUNTS_KEY_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "briarlead_accounts/key_digest.h"

namespace briarlead {

/// Maps the digests of keys to positions in a list. The final comparison takes
/// the same time wherever two digests differ.
class KeyIndex {
 public:
  /// Adds `digest` at `position`. Of several entries with the same digest,
  /// Find() returns the first.
  void Add(const KeyDigest& digest, std::size_t position);

  /// Returns the position of `digest`; nullopt if it was not added.
  [[nodiscard]] std::optional<std::size_t> Find(const KeyDigest& digest) const;

 private:
  struct Entry {
    KeyDigest digest;
    std::size_t position = 0;
  };

  /// By the first bytes of the digest.
  std::unordered_multimap<std::uint64_t, Entry> entries_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ACCOUNTS_KEY_INDEX_H_
