#include "briarlead_accounts/key_index.h"

#include <cstring>

namespace briarlead {

namespace {

std::uint64_t BucketOf(const KeyDigest& digest) {
  std::uint64_t first = 0;
  std::memcpy(&first, digest.bytes.data(), sizeof(first));
  return first;
}

}  // namespace

void KeyIndex::Add(const KeyDigest& digest, std::size_t position) {
  if (!Find(digest).has_value())
    entries_.emplace(BucketOf(digest), Entry{digest, position});
}

std::optional<std::size_t> KeyIndex::Find(const KeyDigest& digest) const {
  const auto [begin, end] = entries_.equal_range(BucketOf(digest));
  std::optional<std::size_t> found;
  for (auto it = begin; it != end; ++it) {
    if (EqualInConstantTime(it->second.digest, digest))
      found = it->second.position;
  }
  return found;
}

}  // namespace briarlead
