#ifndef BRIARLEAD_ENTRY_STATE_NAMES_H_
#define BRIARLEAD_ENTRY_STATE_NAMES_H_

#include <string_view>

#include "briarlead_blackboard/briarlead_blackboard.h"

namespace briarlead {

/// Returns the name of a state in logs and in the status document, for example
/// "alive".
std::string_view StateName(HostState state);
std::string_view StateName(BackendServerState state);

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_STATE_NAMES_H_
