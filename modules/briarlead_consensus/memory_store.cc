#include "briarlead_consensus/memory_store.h"

#include <utility>

namespace briarlead::consensus {

MemoryStore::MemoryStore(Identity identity, const Membership& initial_members) {
  durable_.identity = std::move(identity);
  if (initial_members.voters.empty())
    return;
  durable_.hard_state.term = 1;
  durable_.entries.push_back(
      {1, 1, EntryKind::kMembership, {}, initial_members});
}

void MemoryStore::Sync() {
  if (!unsynced_)
    return;
  const Persist persist = *std::exchange(unsynced_, std::nullopt);
  durable_.hard_state = persist.hard_state;
  if (persist.snapshot) {
    durable_.snapshot = persist.snapshot;
    durable_.entries.clear();
  }
  if (persist.truncate_from != 0) {
    std::erase_if(durable_.entries, [&](const LogEntry& it) {
      return it.index >= persist.truncate_from;
    });
  }
  durable_.entries.insert(durable_.entries.end(), persist.entries.begin(),
                          persist.entries.end());
}

bool MemoryStore::IsDurable(LogIndex index, Term term) const {
  const LogIndex base = durable_.snapshot ? durable_.snapshot->index : 0;
  if (index <= base)
    return true;
  const std::size_t n = index - base - 1;
  return n < durable_.entries.size() && durable_.entries[n].term == term;
}

}  // namespace briarlead::consensus
