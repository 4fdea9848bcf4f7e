#include "briarlead_routes/route_list.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace briarlead {

namespace {

constexpr std::string_view kFile = "routes";

void CheckRoute(const Route& route,
                std::string_view place,
                const std::set<ServiceId>& services,
                Findings& findings) {
  std::uint64_t weights = 0;
  for (const WeightedService& it : route.services) {
    weights += it.weight;
    if (!services.contains(it.service)) {
      findings.Add(kFile, place,
                   fmt::format("unknown service \"{}\"", it.service.value()));
    }
  }
  if (weights == 0)
    findings.Add(kFile, place, "the weights of its services add up to 0");
  if (route.timeout <= Duration::zero())
    findings.Add(kFile, place, "expected a timeout above 0");
  if (!route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/'))
    findings.Add(kFile, place, "expected a prefix that starts and ends with /");
}

/// Positions of a key: of its account and within the account.
struct KeyPlace {
  std::size_t account = 0;
  std::size_t key = 0;
};

std::string ToString(const KeyPlace& place) {
  return fmt::format("accounts[{}].keys[{}]", place.account, place.key);
}

/// Returns whether a header field can carry `text`: servers get account names
/// in one.
bool IsHeaderText(std::string_view text) {
  return std::ranges::all_of(text,
                             [](char c) { return c >= ' ' && c <= '~'; }) &&
         text.front() != ' ' && text.back() != ' ';
}

}  // namespace

void CheckRouteList(const RouteList& list, Findings& findings) {
  std::set<ServiceId> services;
  for (const RoutedService& it : list.services) {
    if (!services.insert(it.name).second) {
      findings.Add(kFile, "services",
                   fmt::format("duplicate service \"{}\"", it.name.value()));
    }
  }
  std::set<std::pair<std::string, std::string>> hosts_and_prefixes;
  for (std::size_t i = 0; i < list.routes.size(); ++i) {
    const Route& route = list.routes[i];
    const std::string place = fmt::format("routes[{}]", i);
    CheckRoute(route, place, services, findings);
    if (!hosts_and_prefixes.emplace(route.host, route.path_prefix).second) {
      findings.Add(kFile, place,
                   fmt::format("duplicate route for {}{}", route.host,
                               route.path_prefix));
    }
  }
  CheckAccounts(list, findings);
}

void CheckAccounts(const RouteList& list, Findings& findings) {
  if (!list.accounts.has_value())
    return;
  std::map<CustomerId, std::size_t> names;
  std::map<KeyDigest, KeyPlace> keys;
  for (std::size_t i = 0; i < list.accounts->size(); ++i) {
    const ClientAccount& account = (*list.accounts)[i];
    const std::string place = fmt::format("accounts[{}]", i);
    const auto [named, is_new_name] = names.emplace(account.id, i);
    if (account.id.empty()) {
      findings.Add(kFile, place, "expected a name");
    } else if (!IsHeaderText(account.id.value())) {
      findings.Add(kFile, place, "expected a name of visible ASCII characters");
    } else if (!is_new_name) {
      findings.Add(kFile, place,
                   fmt::format("the name \"{}\" already stands at accounts[{}]",
                               account.id.value(), named->second));
    }
    for (std::size_t k = 0; k < account.keys.size(); ++k) {
      const auto [first, is_new_key] =
          keys.emplace(account.keys[k], KeyPlace{i, k});
      // An empty digest stands for a key that could not be read.
      if (is_new_key || first->second.account == i ||
          account.keys[k] == KeyDigest()) {
        continue;
      }
      findings.Add(kFile, ToString(KeyPlace{i, k}),
                   "this key already stands at " + ToString(first->second));
    }
  }
}

}  // namespace briarlead
