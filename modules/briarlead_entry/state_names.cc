#include "briarlead_entry/state_names.h"

namespace briarlead {

std::string_view StateName(HostState state) {
  switch (state) {
    case HostState::kAlive:
      return "alive";
    case HostState::kSuspect:
      return "suspect";
    case HostState::kLeaving:
      return "leaving";
    case HostState::kDead:
      return "dead";
  }
  return "unknown";
}

std::string_view StateName(BackendServerState state) {
  switch (state) {
    case BackendServerState::kServing:
      return "serving";
    case BackendServerState::kLeaving:
      return "leaving";
    case BackendServerState::kSilent:
      return "silent";
  }
  return "unknown";
}

}  // namespace briarlead
