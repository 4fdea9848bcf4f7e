#include "fakes/call_report.h"

#include <algorithm>

#include "briarlead_http/json_access.h"

namespace briarlead {

namespace {

/// Returns the value below which `share` of the samples lie, in milliseconds.
template <typename T>
double Quantile(std::vector<T>& samples, double share) {
  if (samples.empty())
    return 0;
  const auto last = static_cast<double>(samples.size() - 1);
  const auto it = samples.begin() + static_cast<std::ptrdiff_t>(share * last);
  std::nth_element(samples.begin(), it, samples.end());
  return static_cast<double>(*it) / 1e3;
}

}  // namespace

std::string CallReport::ToJson(Duration length) {
  nlohmann::ordered_json json = {
      {"sent", sent_},
      {"whole", ends_[CallOutcome::kWhole]},
      {"wrong", ends_[CallOutcome::kWrong]},
      {"refused", ends_[CallOutcome::kRefused]},
      {"cut", ends_[CallOutcome::kCut]},
      {"vanished", ends_[CallOutcome::kVanished]},
      {"first_ms_p50", Quantile(first_, 0.5)},
      {"first_ms_p99", Quantile(first_, 0.99)},
      {"gap_ms_p50", Quantile(gaps_, 0.5)},
      {"gap_ms_p99", Quantile(gaps_, 0.99)},
      {"tokens", tokens_},
      {"tokens_per_second", static_cast<double>(tokens_) / ToSeconds(length)},
  };
  for (const auto& [status, count] : statuses_)
    json["statuses"][std::to_string(status)] = count;
  return DumpJson(json);
}

}  // namespace briarlead
