#include "briarlead_routes/route_list.h"

#include <fmt/format.h>

#include <set>
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
}

}  // namespace briarlead
