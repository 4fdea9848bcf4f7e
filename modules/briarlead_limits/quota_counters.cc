#include "briarlead_limits/quota_counters.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

namespace briarlead {

namespace {

/// Returns `text` as a label value of the Prometheus text format.
std::string Escaped(std::string_view text) {
  std::string out;
  for (const char it : text) {
    if (it == '\\' || it == '"')
      out += '\\';
    out += it == '\n' ? ' ' : it;
  }
  return out;
}

void AddHeader(std::string& out, std::string_view name, std::string_view help) {
  out += fmt::format("# HELP {} {}\n# TYPE {} counter\n", name, help, name);
}

}  // namespace

QuotaCounters::Counts& QuotaCounters::Counts::operator+=(const Counts& other) {
  granted += other.granted;
  used += other.used;
  beyond_quota += other.beyond_quota;
  unknown += other.unknown;
  return *this;
}

void QuotaCounters::OnRefused(const CustomerId& account, QuotaRefusal why) {
  Counts& counts = counts_[account];
  ++(why == QuotaRefusal::kBeyondQuota ? counts.beyond_quota : counts.unknown);
}

std::string QuotaCounters::Render() const {
  if (counts_.empty())
    return {};
  std::vector<std::pair<std::string, Counts>> series;
  for (const auto& [account, counts] : counts_)
    series.emplace_back(Escaped(account.value()), counts);
  std::stable_sort(series.begin(), series.end(),
                   [](const auto& left, const auto& right) {
                     return left.second.used > right.second.used;
                   });
  if (series.size() > kMaxAccounts) {
    Counts other;
    for (std::size_t i = kMaxAccounts; i < series.size(); ++i)
      other += series[i].second;
    series.resize(kMaxAccounts);
    series.emplace_back("other", other);
  }
  std::string out;
  const auto add = [&](std::string_view name, auto value) {
    for (const auto& [account, counts] : series)
      out += fmt::format("{}{{account=\"{}\"}} {}\n", name, account,
                         value(counts));
  };
  AddHeader(out, "briarlead_quota_granted_total",
            "Amounts of quotas that were granted to this host.");
  add("briarlead_quota_granted_total",
      [](const Counts& it) { return it.granted; });
  AddHeader(out, "briarlead_quota_used_total",
            "Amounts of quotas that requests of this host used.");
  add("briarlead_quota_used_total", [](const Counts& it) { return it.used; });
  AddHeader(out, "briarlead_quota_refused_total",
            "Requests refused because of a quota.");
  for (const auto& [account, counts] : series) {
    out += fmt::format(
        "briarlead_quota_refused_total{{account=\"{0}\",cause=\"beyond_quota\"}"
        "}"
        " {1}\n"
        "briarlead_quota_refused_total{{account=\"{0}\",cause=\"unknown\"}} "
        "{2}\n",
        account, counts.beyond_quota, counts.unknown);
  }
  return out;
}

}  // namespace briarlead
