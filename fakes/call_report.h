#ifndef FAKES_CALL_REPORT_H_
#define FAKES_CALL_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "briarlead_core/time.h"

namespace briarlead {

/// How one caller fared.
enum class CallOutcome {
  kWhole,     ///< It got its own whole answer.
  kWrong,     ///< It got a whole answer that isn't its own.
  kRefused,   ///< It got an error response.
  kCut,       ///< The answer ended early.
  kVanished,  ///< It went by its own choice.
};

/// Counts and latencies of a run.
class CallReport {
 public:
  void CountSent() { ++sent_; }
  void CountEnd(CallOutcome outcome) { ++ends_[outcome]; }
  void CountStatus(int status) { ++statuses_[status]; }
  void AddFirst(Duration latency) { first_.push_back(latency.count()); }
  void AddGap(Duration gap) {
    ++tokens_;
    gaps_.push_back(static_cast<std::int32_t>(gap.count()));
  }

  /// Returns everything as one line of JSON; latencies in milliseconds.
  /// `length` is the time that the run took.
  [[nodiscard]] std::string ToJson(Duration length);

 private:
  std::uint64_t sent_ = 0;
  std::uint64_t tokens_ = 0;
  std::map<CallOutcome, std::uint64_t> ends_;
  std::map<int, std::uint64_t> statuses_;
  std::vector<std::int64_t> first_;
  std::vector<std::int32_t> gaps_;
};

}  // namespace briarlead

#endif  // FAKES_CALL_REPORT_H_
