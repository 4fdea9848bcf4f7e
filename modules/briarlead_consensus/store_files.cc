#include "briarlead_consensus/store_files.h"

#include <fmt/format.h>

#include <charconv>
#include <system_error>

#include "briarlead_consensus/batch_format.h"
#include "briarlead_consensus/posix_file.h"

namespace briarlead::consensus {

std::string NumberedName(std::string_view prefix, std::uint64_t number) {
  return fmt::format("{}{:020}", prefix, number);
}

std::optional<std::uint64_t> ParseNumber(std::string_view name,
                                         std::string_view prefix) {
  if (!name.starts_with(prefix))
    return std::nullopt;
  name.remove_prefix(prefix.size());
  std::uint64_t number = 0;
  const auto [end, ec] =
      std::from_chars(name.data(), name.data() + name.size(), number);
  if (ec != std::errc() || end != name.data() + name.size())
    return std::nullopt;
  return number;
}

Result<std::string> ReadSingleBatch(const std::string& path,
                                    std::uint64_t sequence,
                                    std::size_t max_bytes) {
  BOOST_OUTCOME_TRY(const std::string bytes, ReadFile(path, max_bytes));
  BOOST_OUTCOME_TRY(const BatchScan scan, ScanBatches(bytes, sequence, false));
  if (scan.payloads.size() != 1)
    return Fail(ErrorCode::kCorrupt,
                path + " doesn't contain exactly one batch");
  return std::string(scan.payloads.front());
}

Result<void> ApplyBatch(const Persist& persist, RecoveredState& state) {
  state.hard_state = persist.hard_state;
  if (persist.snapshot) {
    state.snapshot = persist.snapshot;
    state.entries.clear();
  }
  if (persist.truncate_from != 0) {
    std::erase_if(state.entries, [&](const LogEntry& it) {
      return it.index >= persist.truncate_from;
    });
  }
  for (const LogEntry& it : persist.entries) {
    const LogIndex base = state.snapshot ? state.snapshot->index : 0;
    if (it.index != base + state.entries.size() + 1)
      return Fail(ErrorCode::kCorrupt, "the log has a gap");
    state.entries.push_back(it);
  }
  return outcome::success();
}

}  // namespace briarlead::consensus
