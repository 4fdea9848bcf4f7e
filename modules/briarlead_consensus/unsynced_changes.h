#ifndef BRIARLEAD_CONSENSUS_UNSYNCED_CHANGES_H_
#define BRIARLEAD_CONSENSUS_UNSYNCED_CHANGES_H_

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "briarlead_consensus/batch_format.h"
#include "briarlead_consensus/recorded_file.h"
#include "briarlead_core/random_source.h"

namespace briarlead::consensus {

/// Returns the folder that `path` is in.
inline std::string ParentOf(const std::string& path) {
  return path.substr(0, path.rfind('/'));
}

/// Changes that no sync covers yet, by what covers them.
class UnsyncedChanges {
 public:
  explicit UnsyncedChanges(DiskContent content)
      : content_(std::move(content)) {}

  void Add(const DiskChange& change) {
    std::visit([this](const auto& it) { On(it); }, change);
  }

  /// Returns what is on the disk after the power failed: of each change that
  /// isn't synced, `random` decides whether it was kept.
  DiskContent Draw(RandomSource& random) const {
    DiskContent drawn = content_;
    for (const DiskChange& it : pending_) {
      if (std::holds_alternative<Written>(it))
        DrawWritten(std::get<Written>(it), random, drawn);
      else if (random.Below(2) == 0)
        Apply(it, drawn);
    }
    return drawn;
  }

 private:
  void On(const SyncedFile& synced) {
    Settle([&](const DiskChange& it) {
      const auto* written = std::get_if<Written>(&it);
      const auto* truncated = std::get_if<Truncated>(&it);
      return (written != nullptr && written->file == synced.file) ||
             (truncated != nullptr && truncated->file == synced.file);
    });
  }

  void On(const SyncedFolder& synced) {
    Settle([&](const DiskChange& it) {
      const auto* created = std::get_if<Created>(&it);
      const auto* removed = std::get_if<Removed>(&it);
      const auto* renamed = std::get_if<Renamed>(&it);
      return (created != nullptr && ParentOf(created->path) == synced.path) ||
             (removed != nullptr && ParentOf(removed->path) == synced.path) ||
             (renamed != nullptr && ParentOf(renamed->to) == synced.path);
    });
  }

  template <typename Change>
  void On(const Change& change) {
    pending_.emplace_back(change);
  }

  /// Makes the pending changes that `is_synced` names lasting.
  template <typename Predicate>
  void Settle(Predicate is_synced) {
    std::vector<DiskChange> rest;
    for (const DiskChange& it : pending_) {
      if (is_synced(it))
        Apply(it, content_);
      else
        rest.push_back(it);
    }
    pending_ = std::move(rest);
  }

  static void Apply(const DiskChange& change, DiskContent& content) {
    std::visit([&](const auto& it) { ApplyOne(it, content); }, change);
  }
  static void ApplyOne(const Created& it, DiskContent& content) {
    content.names[it.path] = it.file;
    content.files[it.file];
  }
  static void ApplyOne(const Removed& it, DiskContent& content) {
    const auto name = content.names.find(it.path);
    if (name != content.names.end() && name->second == it.file)
      content.names.erase(name);
  }
  static void ApplyOne(const Renamed& it, DiskContent& content) {
    Rename(it, content.names);
  }
  static void ApplyOne(const Written& it, DiskContent& content) {
    std::string& bytes = content.files[it.file];
    bytes.resize(std::max(bytes.size(), it.offset + it.bytes.size()));
    bytes.replace(it.offset, it.bytes.size(), it.bytes);
  }
  static void ApplyOne(const Truncated& it, DiskContent& content) {
    content.files[it.file].resize(it.size);
  }
  static void ApplyOne(const SyncedFile&, DiskContent&) {}
  static void ApplyOne(const SyncedFolder&, DiskContent&) {}

  /// A write is there, missing, or there in some of its sectors.
  static void DrawWritten(const Written& written,
                          RandomSource& random,
                          DiskContent& content) {
    const std::uint64_t kind = random.Below(3);
    if (kind == 0)
      ApplyOne(written, content);
    if (kind != 1)
      return;
    std::size_t begin = 0;
    while (begin < written.bytes.size()) {
      const std::size_t at = written.offset + begin;
      const std::size_t end =
          std::min(written.bytes.size(),
                   (at / kSectorBytes + 1) * kSectorBytes - written.offset);
      if (random.Below(2) == 0) {
        ApplyOne(
            Written{written.file, at, written.bytes.substr(begin, end - begin)},
            content);
      }
      begin = end;
    }
  }

  DiskContent content_;
  std::vector<DiskChange> pending_;
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_UNSYNCED_CHANGES_H_
