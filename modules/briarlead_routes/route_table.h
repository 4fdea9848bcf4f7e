#ifndef BRIARLEAD_ROUTES_ROUTE_TABLE_H_
#define BRIARLEAD_ROUTES_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "briarlead_accounts/account_table.h"
#include "briarlead_routes/route_list.h"

namespace briarlead {

/// Finds the route of a request. A request in progress holds a reference to the
/// table that it started with.
class RouteTable {
 public:
  explicit RouteTable(RouteList list);

  /// Returns the route of `host` with the longest prefix of `path`; null if
  /// there is none. Case and port of `host` are ignored.
  [[nodiscard]] const Route* Match(std::string_view host,
                                   std::string_view path) const;

  /// Returns the service `name`; null if there is none.
  [[nodiscard]] const RoutedService* FindService(const ServiceId& name) const;

  /// Returns the client accounts; null if the list has none, so that no request
  /// needs a key.
  [[nodiscard]] const AccountTable* accounts() const {
    return accounts_.has_value() ? &*accounts_ : nullptr;
  }

  [[nodiscard]] const RouteList& list() const { return list_; }

 private:
  RouteList list_;
  std::optional<AccountTable> accounts_;
  std::map<std::string,
           std::map<std::string, const Route*, std::less<>>,
           std::less<>>
      by_host_;
};

/// Returns a service of `route`, chosen by weight from `draw`, a random number
/// in [0, 1).
ServiceId PickService(const Route& route, double draw);

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_ROUTE_TABLE_H_
