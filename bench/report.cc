#include "bench/report.h"

#include <fmt/format.h>

#include <fstream>
#include <set>

namespace briarlead::bench {
namespace {

constexpr double kBarWidth = 9.0;
constexpr double kGroupGap = 14.0;
constexpr double kChartHeight = 240.0;
constexpr double kChartTop = 40.0;
constexpr double kChartLeft = 50.0;
constexpr double kLabelHeight = 130.0;
constexpr int kGridLines = 5;

const char* ColourOf(const std::string& policy) {
  if (policy == "briarlead")
    return "#1b6ca8";
  if (policy == "round robin")
    return "#c9a227";
  if (policy == "least loaded")
    return "#8a5a83";
  return "#9aa0a6";
}

std::string Percent(double share) {
  return fmt::format("{:.1f}", share * 100.0);
}

std::string TableLine(const ReportRow& row) {
  const auto mean = [&row](auto part) { return Percent(row.Mean(part)); };
  std::string line =
      fmt::format("| {} | {} | {} |", row.deployment, row.scenario, row.policy);
  line += " ";
  line += mean([](const Measures& m) { return m.all.GoodShare(); });
  line += " | " + mean([](const Measures& m) { return m.bound_share; });
  line += " | " + Percent(row.GoodputRatio());
  line += " | " + fmt::format("{:.2f}", 100.0 * row.Mean([](const Measures& m) {
            return m.wasted_prefill_share;
          }));
  line += " | " + mean([](const Measures& m) { return m.urgent.GoodShare(); });
  line +=
      " | " + mean([](const Measures& m) { return m.patient.AnsweredShare(); });
  line += " | " + mean([](const Measures& m) { return m.patient.GoodShare(); });
  line += " | " +
          mean([](const Measures& m) { return m.event_urgent.GoodShare(); });
  line +=
      " | " + mean([](const Measures& m) { return m.event_rest.GoodShare(); });
  line += " | " + mean([](const Measures& m) {
            return m.event_rest_urgent.GoodShare();
          });
  line += " | " + mean([](const Measures& m) { return m.patient_floor_use; });
  return line + " |\n";
}

void AddBar(std::string& svg,
            double x,
            double share,
            const std::string& policy) {
  const double height = share * kChartHeight;
  svg += fmt::format(
      "<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" height=\"{:.1f}\" "
      "fill=\"{}\"/>\n",
      x, kChartTop + kChartHeight - height, kBarWidth - 1.0, height,
      ColourOf(policy));
}

void AddGrid(std::string& svg, double width) {
  for (int i = 0; i <= kGridLines; ++i) {
    const double share = static_cast<double>(i) / kGridLines;
    const double y = kChartTop + kChartHeight * (1.0 - share);
    svg += fmt::format(
        "<line x1=\"{0:.1f}\" y1=\"{1:.1f}\" x2=\"{2:.1f}\" y2=\"{1:.1f}\" "
        "stroke=\"#ddd\"/><text x=\"{3:.1f}\" y=\"{4:.1f}\" "
        "text-anchor=\"end\">{5:.0f}%</text>\n",
        kChartLeft, y, width, kChartLeft - 6.0, y + 4.0, share * 100.0);
  }
}

void AddLegend(std::string& svg, const std::vector<std::string>& policies) {
  double x = kChartLeft;
  for (const std::string& it : policies) {
    svg += fmt::format(
        "<rect x=\"{:.1f}\" y=\"12\" width=\"10\" height=\"10\" fill=\"{}\"/>"
        "<text x=\"{:.1f}\" y=\"21\">{}</text>\n",
        x, ColourOf(it), x + 14.0, it);
    x += 120.0;
  }
  svg +=
      fmt::format("<text x=\"{:.1f}\" y=\"21\">line: upper bound</text>\n", x);
}

bool WriteFile(const std::string& path, const std::string& text) {
  std::ofstream out(path, std::ios::binary);
  out << text;
  return static_cast<bool>(out);
}

}  // namespace

std::string MakeTable(const std::vector<ReportRow>& rows) {
  std::string table =
      "Shares in percent, means over the seeds. *Event* columns count the "
      "requests that arrived between 120 s and 180 s; *rest* those of "
      "customers "
      "other than the first.\n\n"
      "| deployment | scenario | policy | goodput | upper bound | ratio | "
      "wasted "
      "prefill | urgent on time | patient answered | patient on time | event: "
      "urgent on time | event: rest on time | event: rest urgent on time | "
      "patient tokens over floor |\n"
      "|---|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n";
  for (const ReportRow& it : rows)
    table += TableLine(it);
  return table;
}

std::string MakeGoodputChart(const std::vector<ReportRow>& rows,
                             const std::string& deployment) {
  std::vector<std::string> policies;
  std::vector<std::string> scenarios;
  std::set<std::string> seen_policies;
  std::set<std::string> seen_scenarios;
  for (const ReportRow& it : rows) {
    if (it.deployment != deployment)
      continue;
    if (seen_policies.insert(it.policy).second)
      policies.push_back(it.policy);
    if (seen_scenarios.insert(it.scenario).second)
      scenarios.push_back(it.scenario);
  }
  const double group =
      kBarWidth * static_cast<double>(policies.size()) + kGroupGap;
  const double width =
      kChartLeft + group * static_cast<double>(scenarios.size());
  std::string body;
  AddGrid(body, width);
  AddLegend(body, policies);
  double x = kChartLeft + kGroupGap / 2.0;
  for (const std::string& scenario : scenarios) {
    double bar = x;
    double bound = 0.0;
    for (const ReportRow& it : rows) {
      if (it.deployment != deployment || it.scenario != scenario)
        continue;
      AddBar(body, bar,
             it.Mean([](const Measures& m) { return m.all.GoodShare(); }),
             it.policy);
      bound = it.Mean([](const Measures& m) { return m.bound_share; });
      bar += kBarWidth;
    }
    const double y = kChartTop + kChartHeight * (1.0 - bound);
    body += fmt::format(
        "<line x1=\"{:.1f}\" y1=\"{:.1f}\" x2=\"{:.1f}\" y2=\"{:.1f}\" "
        "stroke=\"#222\" stroke-width=\"2\"/>\n",
        x - 2.0, y, bar + 2.0, y);
    body += fmt::format(
        "<text transform=\"translate({:.1f},{:.1f}) rotate(-55)\" "
        "text-anchor=\"end\">{}</text>\n",
        x + group / 2.0, kChartTop + kChartHeight + 14.0, scenario);
    x += group;
  }
  return fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{:.0f}\" "
      "height=\"{:.0f}\" font-family=\"sans-serif\" font-size=\"11\">\n"
      "<title>Goodput, {}</title>\n{}</svg>\n",
      width + 10.0, kChartTop + kChartHeight + kLabelHeight, deployment, body);
}

bool WriteReport(const std::vector<ReportRow>& rows,
                 const std::string& directory) {
  std::set<std::string> deployments;
  for (const ReportRow& it : rows)
    deployments.insert(it.deployment);
  bool written = WriteFile(directory + "/dispatch-bench.md", MakeTable(rows));
  for (const std::string& it : deployments) {
    const std::string path = fmt::format("{}/goodput-{}.svg", directory, it);
    written = WriteFile(path, MakeGoodputChart(rows, it)) && written;
  }
  return written;
}

}  // namespace briarlead::bench
