#include "briarlead_routes/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace briarlead {

namespace {

/// Returns `host` in lower case and without its port.
std::string HostKey(std::string_view host) {
  std::string key(host.substr(0, host.rfind(':')));
  std::transform(key.begin(), key.end(), key.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return key;
}

}  // namespace

RouteTable::RouteTable(RouteList list) : list_(std::move(list)) {
  for (const Route& it : list_.routes)
    by_host_[HostKey(it.host)][it.path_prefix] = &it;
  if (list_.accounts.has_value())
    accounts_.emplace(*list_.accounts);
}

const Route* RouteTable::Match(std::string_view host,
                               std::string_view path) const {
  const auto found = by_host_.find(HostKey(host));
  if (found == by_host_.end())
    return nullptr;
  // Every route prefix ends with a slash: try the prefixes of `path` that do,
  // longest first.
  for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = path.rfind('/', slash - 1)) {
    const auto it = found->second.find(path.substr(0, slash + 1));
    if (it != found->second.end())
      return it->second;
    if (slash == 0)
      break;
  }
  return nullptr;
}

const RoutedService* RouteTable::FindService(const ServiceId& name) const {
  const auto it =
      std::find_if(list_.services.begin(), list_.services.end(),
                   [&](const RoutedService& s) { return s.name == name; });
  return it == list_.services.end() ? nullptr : &*it;
}

ServiceId PickService(const Route& route, double draw) {
  double total = 0;
  for (const WeightedService& it : route.services)
    total += it.weight;
  double left = draw * total;
  for (const WeightedService& it : route.services) {
    left -= it.weight;
    if (left < 0 && it.weight > 0)
      return it.service;
  }
  return route.services.empty() ? ServiceId() : route.services.back().service;
}

}  // namespace briarlead
