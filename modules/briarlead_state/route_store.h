#ifndef BRIARLEAD_STATE_ROUTE_STORE_H_
#define BRIARLEAD_STATE_ROUTE_STORE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "briarlead_core/error.h"
#include "briarlead_state/state_command.h"

namespace briarlead {

/// The outcome of a ReplaceRoutes.
struct ReplaceRoutesResult {
  std::uint64_t version_in_force = 0;
  bool changed = false;

  friend bool operator==(const ReplaceRoutesResult&,
                         const ReplaceRoutesResult&) = default;
};

/// The list of routes in force: the one with the highest version so far, stored
/// as the unchanged text.
class RouteStore {
 public:
  /// Replaces the list if the new version is higher; otherwise changes nothing.
  ReplaceRoutesResult Replace(const ReplaceRoutes& command);

  /// Returns the version in force; zero before the first list.
  [[nodiscard]] std::uint64_t version() const { return version_; }
  [[nodiscard]] const std::string& text() const { return text_; }

  /// Serialises the whole store.
  [[nodiscard]] std::string EncodeSnapshot() const;
  /// Replaces the whole store by a snapshot. Error: kCorrupt; the store is then
  /// unchanged.
  Result<void> RestoreSnapshot(std::string_view bytes);

 private:
  std::uint64_t version_ = 0;
  std::string text_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_STATE_ROUTE_STORE_H_
