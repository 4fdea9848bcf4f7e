#ifndef BRIARLEAD_ROUTES_ROUTE_LIST_H_
#define BRIARLEAD_ROUTES_ROUTE_LIST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "briarlead_accounts/client_account.h"
#include "briarlead_core/findings.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// A service and its share of a route's requests.
struct WeightedService {
  ServiceId service;
  std::uint32_t weight = 1;
};

/// Whether a request of a route may run more than once.
enum class RouteKind {
  kSafe,    ///< Idempotent: may run more than once.
  kUnsafe,  ///< Runs at most once.
  kStream,  ///< A stream of events; may run again only if it is resumable.
};

/// The target services and the policy for requests of one host and path prefix.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  RouteKind kind = RouteKind::kUnsafe;
  std::vector<WeightedService> services;
  unsigned rank = 0;          ///< 0 is the most urgent.
  unsigned max_attempts = 1;  ///< Maximum servers that may run a request.
  Duration timeout = std::chrono::seconds(1);
  Duration target_latency = std::chrono::seconds(1);
  Duration max_event_gap = Duration::zero();  ///< Of streams; zero: no limit.
  /// Time without an event after which callers disconnect; zero if unknown.
  Duration caller_patience = Duration::zero();
  bool resumable = false;
  bool model_request = false;  ///< Served by engines.
  bool is_public = false;      ///< Needs no key where the list has accounts.

  /// Returns whether a request may run more than once.
  [[nodiscard]] bool repeatable() const {
    return kind == RouteKind::kSafe ||
           (kind == RouteKind::kStream && resumable);
  }
};

/// The properties that all engines of a service share.
struct EngineTraits {
  std::uint32_t slots = 1;
  std::uint64_t kv_token_capacity = 0;
  std::uint64_t kv_bytes_per_token = 0;
  std::uint32_t tokens_per_event = 1;
  Duration kv_result_life = Duration::zero();
};

/// A service to which routes refer.
struct RoutedService {
  ServiceId name;
  std::string health_path;
  std::uint32_t max_connections = 0;
  std::optional<EngineTraits> engine;  ///< Set for services of engines.
};

/// Limits on the requests of callers.
struct RequestLimits {
  std::uint32_t max_head_bytes = 16384;
  std::uint64_t max_body_bytes = 4194304;
  Duration head_timeout = std::chrono::milliseconds(3000);
  Duration idle_timeout = std::chrono::milliseconds(15000);
};

/// One version of the complete list of routes.
struct RouteList {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<RoutedService> services;
  RequestLimits limits;
  /// Unset: no request needs a key. Empty: no key is valid.
  std::optional<std::vector<ClientAccount>> accounts;
};

/// Adds a finding for each error in `list`: unknown or duplicate services, two
/// routes with the same host and prefix, an invalid prefix, weights that add up
/// to zero, a missing timeout, and those of CheckAccounts().
void CheckRouteList(const RouteList& list, Findings& findings);

/// Adds a finding for each account without a name or with the name of another
/// account, and for each key that two accounts share. Keys are named by their
/// positions.
void CheckAccounts(const RouteList& list, Findings& findings);

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_ROUTE_LIST_H_
