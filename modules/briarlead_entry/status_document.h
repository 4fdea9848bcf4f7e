#ifndef BRIARLEAD_ENTRY_STATUS_DOCUMENT_H_
#define BRIARLEAD_ENTRY_STATUS_DOCUMENT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "briarlead_dispatch/briarlead_dispatch.h"
#include "briarlead_entry/entry_context.h"

namespace briarlead {

/// The state of an entry host that is not on its blackboard.
struct EntryStatus {
  bool ready = false;
  bool stopping = false;
  /// The control leader answered recently. Without it, claims and changes of
  /// the lists wait, and the host serves with its present lists.
  bool control_heard = false;
  std::uint64_t lists_revision = 0;
  std::size_t open_completions = 0;
  std::size_t open_calls = 0;
  std::vector<ShardSummary> shards;
};

/// Returns the status as a JSON document.
std::string WriteStatusDocument(const EntryContext& context,
                                const EntryStatus& status);

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_STATUS_DOCUMENT_H_
