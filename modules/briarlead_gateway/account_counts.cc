#include "briarlead_gateway/account_counts.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

namespace briarlead {

namespace {

constexpr std::string_view kName = "briarlead_account_requests_total";
constexpr std::array<std::string_view, kAccountOutcomes> kOutcomeNames = {
    "served", "unauthorized", "limited", "refused", "failed", "caller_gone"};

/// Returns `text` as the value of a label.
std::string Escape(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '"' || c == '\\')
      escaped += '\\';
    escaped += c;
  }
  return escaped;
}

}  // namespace

void AccountCounts::Add(const CustomerId& account, AccountOutcome outcome) {
  const bool has_room =
      accounts_.size() < kMaxAccounts || accounts_.contains(account);
  Counts& counts = has_room ? accounts_[account] : other_;
  ++counts.by_outcome[static_cast<std::size_t>(outcome)];
  ++counts.total;
}

std::string AccountCounts::Render() const {
  if (accounts_.empty())
    return {};
  std::vector<std::pair<CustomerId, Counts>> busiest(accounts_.begin(),
                                                     accounts_.end());
  std::ranges::stable_sort(busiest, [](const auto& left, const auto& right) {
    return left.second.total > right.second.total;
  });
  Counts other = other_;
  while (busiest.size() > kMaxSeries) {
    for (std::size_t i = 0; i < kAccountOutcomes; ++i)
      other.by_outcome[i] += busiest.back().second.by_outcome[i];
    busiest.pop_back();
  }
  std::string out = fmt::format(
      "# HELP {0} Requests of client accounts.\n# TYPE {0} counter\n", kName);
  const auto add = [&](std::string_view account, const Counts& counts) {
    for (std::size_t i = 0; i < kAccountOutcomes; ++i) {
      out +=
          fmt::format("{}{{account=\"{}\",outcome=\"{}\"}} {}\n", kName,
                      Escape(account), kOutcomeNames[i], counts.by_outcome[i]);
    }
  };
  for (const auto& [account, counts] : busiest)
    add(account.value(), counts);
  add("other", other);
  return out;
}

}  // namespace briarlead
