#ifndef BENCH_REPORT_H_
#define BENCH_REPORT_H_

#include <string>
#include <vector>

#include "bench/measures.h"

namespace briarlead::bench {

/// The figures of one policy in one scenario, over several seeds.
struct ReportRow {
  std::string deployment;
  std::string scenario;
  std::string policy;
  std::vector<Measures> runs;

  /// Returns the mean of `part` over the seeds.
  template <typename Part>
  [[nodiscard]] double Mean(Part part) const {
    double sum = 0.0;
    for (const Measures& it : runs)
      sum += part(it);
    return runs.empty() ? 0.0 : sum / static_cast<double>(runs.size());
  }
  /// Returns the mean of goodput over its upper bound.
  [[nodiscard]] double GoodputRatio() const {
    return Mean(
        [](const Measures& it) { return it.all.GoodShare() / it.bound_share; });
  }
};

/// Returns the table of all rows, in Markdown.
std::string MakeTable(const std::vector<ReportRow>& rows);

/// Returns a bar chart of goodput by scenario and policy, with the upper
/// bounds, for one deployment, as SVG.
std::string MakeGoodputChart(const std::vector<ReportRow>& rows,
                             const std::string& deployment);

/// Writes table and charts into `directory`, which must exist. Returns whether
/// all files could be written.
bool WriteReport(const std::vector<ReportRow>& rows,
                 const std::string& directory);

}  // namespace briarlead::bench

#endif  // BENCH_REPORT_H_
