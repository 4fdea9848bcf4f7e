#ifndef BRIARLEAD_REGISTRY_REGISTRY_CALL_H_
#define BRIARLEAD_REGISTRY_REGISTRY_CALL_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "briarlead_core/findings.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_routes/route_list.h"
#include "briarlead_routes/server_record.h"
#include "briarlead_wire/http_head.h"

namespace briarlead {

/// An operator replaces the list of routes. `text` is already validated.
struct ReplaceRoutesCall {
  std::uint64_t version = 0;
  std::string text;
};

/// An operator reads the list of routes.
struct ReadRoutesCall {};

/// A backend server announces itself, or a change of its state.
struct AnnounceCall {
  ServerRecord record;
};

/// A backend server deregisters because it is ending.
struct DeregisterCall {
  BackendServerId id;
  /// Unix time of its start; 0 if not given: it is the newest start then.
  std::uint64_t born_ms = 0;
};

/// A call with invalid contents.
struct InvalidCall {
  std::string findings;
};

/// A call to an unknown path or with an unsupported method.
struct UnknownCall {};

using RegistryCall = std::variant<ReplaceRoutesCall,
                                  ReadRoutesCall,
                                  AnnounceCall,
                                  DeregisterCall,
                                  InvalidCall,
                                  UnknownCall>;

/// Parses an HTTP request as a call. May move the body out.
using RegistryCallReader =
    std::function<RegistryCall(const RequestHead& head, std::string& body)>;

/// Parses the text of a list of routes. Returns nullopt, and adds the errors to
/// `findings`, if it is invalid.
using RouteListReader =
    std::function<std::optional<RouteList>(std::string_view text,
                                           Findings& findings)>;

}  // namespace briarlead

#endif  // BRIARLEAD_REGISTRY_REGISTRY_CALL_H_
