#ifndef BRIARLEAD_REGISTRY_STREAM_ORIGIN_TABLE_H_
#define BRIARLEAD_REGISTRY_STREAM_ORIGIN_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "briarlead_core/time.h"
#include "briarlead_routes/stream_origin.h"

namespace briarlead {

/// The versions at which streams began, as entry hosts have told them. Held in
/// memory alone: two control hosts keep each, and entry hosts tell a process
/// that has started again.
class StreamOriginTable {
 public:
  /// Time after the last report of a stream at which it is removed.
  static constexpr Duration kLife = std::chrono::seconds(30);
  /// Usual limit of reports; the oldest yield.
  static constexpr std::size_t kMaxReports = 400'000;

  explicit StreamOriginTable(std::size_t max_reports = kMaxReports)
      : max_reports_(max_reports) {}

  void OnReport(const StreamOriginReport& report, TimePoint now);

  /// Answers `query` by what is known at `now`.
  [[nodiscard]] StreamOriginReply OnQuery(const StreamOriginQuery& query,
                                          TimePoint now) const;

  /// Removes the streams that were not reported for kLife.
  void Expire(TimePoint now);

  [[nodiscard]] std::size_t size() const { return streams_.size(); }

 private:
  struct Stream {
    std::uint32_t version = 0;  ///< Index in versions_.
    TimePoint told_at;
  };
  struct Reported {
    std::uint64_t stream = 0;
    TimePoint told_at;
  };

  std::uint32_t IndexOf(const ServiceVersion& version);
  void RemoveOldest();

  std::size_t max_reports_;
  /// Each version once; streams far outnumber them.
  std::vector<ServiceVersion> versions_;
  std::unordered_map<std::uint64_t, Stream> streams_;
  /// All reports in the order in which they came.
  std::deque<Reported> reported_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_REGISTRY_STREAM_ORIGIN_TABLE_H_
