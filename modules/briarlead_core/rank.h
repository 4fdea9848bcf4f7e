#ifndef BRIARLEAD_CORE_RANK_H_
#define BRIARLEAD_CORE_RANK_H_

#include <array>
#include <cstddef>
#include <string_view>

namespace briarlead {

/// How urgently a piece of work must be served. Lower values go first.
enum class Rank {
  kUrgent,   ///< Answered on time.
  kPatient,  ///< Answered in full, late rather than never.
};

inline constexpr std::size_t kRankCount = 2;
inline constexpr std::array<Rank, kRankCount> kRanks = {Rank::kUrgent,
                                                        Rank::kPatient};

/// Returns "urgent" or "patient".
std::string_view ToString(Rank rank);

}  // namespace briarlead

#endif  // BRIARLEAD_CORE_RANK_H_
