#ifndef BRIARLEAD_REGISTRY_REGISTRY_CALL_H_
#define BRIARLEAD_REGISTRY_REGISTRY_CALL_H_

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

#include "briarlead_core/identifiers.h"
#include "briarlead_routes/server_record.h"
#include "briarlead_wire/http_head.h"

namespace briarlead {

/// An operator replaces the list of routes; `text` has passed its checks.
struct ReplaceRoutesCall {
  std::uint64_t version = 0;
  std::string text;
};

/// An operator reads the list of routes.
struct ReadRoutesCall {};

/// A backend server announces itself.
struct AnnounceCall {
  ServerRecord record;
};

/// A backend server says that it ends.
struct DeregisterCall {
  BackendServerId id;
  std::uint64_t born_ms = 0;  ///< 0 when it didn't say.
};

/// A call whose contents are invalid.
struct InvalidCall {
  std::string findings;
};

/// A call that isn't known.
struct UnknownCall {};

using RegistryCall = std::variant<ReplaceRoutesCall,
                                  ReadRoutesCall,
                                  AnnounceCall,
                                  DeregisterCall,
                                  InvalidCall,
                                  UnknownCall>;

/// Reads a call from a request; may move the body out.
using RegistryCallReader =
    std::function<RegistryCall(const RequestHead& head, std::string& body)>;

}  // namespace briarlead

#endif  // BRIARLEAD_REGISTRY_REGISTRY_CALL_H_
