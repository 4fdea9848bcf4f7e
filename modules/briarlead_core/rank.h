#ifndef BRIARLEAD_CORE_RANK_H_
#define BRIARLEAD_CORE_RANK_H_

#include <array>
#include <cstddef>
#include <string_view>

namespace briarlead {

/// Priority class of a request. Lower values are served first.
enum class Rank {
  kUrgent,   ///< Is to be answered on time.
  kPatient,  ///< Is to be answered in full, late rather than never.
};

/// Number of ranks.
inline constexpr std::size_t kRankCount = 2;
/// All ranks, in the order of their values.
inline constexpr std::array<Rank, kRankCount> kRanks = {Rank::kUrgent,
                                                        Rank::kPatient};

/// Returns "urgent" or "patient".
std::string_view ToString(Rank rank);

}  // namespace briarlead

#endif  // BRIARLEAD_CORE_RANK_H_
