#ifndef BRIARLEAD_ROUTES_PROMPT_PART_REPORT_H_
#define BRIARLEAD_ROUTES_PROMPT_PART_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "briarlead_core/time.h"
#include "briarlead_routes/prompt_part.h"

namespace briarlead {

/// An engine that ended while it began to answer a prompt with `part`.
struct PromptPartCrash {
  PromptPartId part;
  std::uint64_t engine = 0;  ///< Hash of the engine's incarnation.
  Duration age = Duration::zero();

  friend bool operator==(const PromptPartCrash&,
                         const PromptPartCrash&) = default;
};

/// An engine that answered a prompt with `part` and went on.
struct PromptPartSurvival {
  PromptPartId part;
  Duration age = Duration::zero();

  friend bool operator==(const PromptPartSurvival&,
                         const PromptPartSurvival&) = default;
};

/// What a host knows of the parts of prompts under which engines ended, by its
/// own requests and the reports of others.
struct PromptPartReport {
  /// Maximum number of entries of each kind in one message.
  static constexpr std::size_t kMaxCrashes = 32;
  static constexpr std::size_t kMaxSurvivals = 16;

  std::vector<PromptPartCrash> crashes;
  std::vector<PromptPartSurvival> survivals;

  [[nodiscard]] bool empty() const {
    return crashes.empty() && survivals.empty();
  }
  friend bool operator==(const PromptPartReport&,
                         const PromptPartReport&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_PROMPT_PART_REPORT_H_
