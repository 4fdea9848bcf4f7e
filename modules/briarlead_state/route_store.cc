#include "briarlead_state/route_store.h"

#include "briarlead_state/state_serialization.h"

namespace briarlead {

ReplaceRoutesResult RouteStore::Replace(const ReplaceRoutes& command) {
  if (command.version <= version_)
    return {version_, false};
  version_ = command.version;
  text_ = command.text;
  return {version_, true};
}

std::string RouteStore::EncodeSnapshot() const {
  return EncodeBytes(ReplaceRoutes{version_, text_});
}

Result<void> RouteStore::RestoreSnapshot(std::string_view bytes) {
  BOOST_OUTCOME_TRY(ReplaceRoutes restored, DecodeBytes<ReplaceRoutes>(bytes));
  version_ = restored.version;
  text_ = std::move(restored.text);
  return outcome::success();
}

}  // namespace briarlead
