#ifndef BRIARLEAD_ENTRY_ENTRY_CONTEXT_H_
#define BRIARLEAD_ENTRY_ENTRY_CONTEXT_H_

#include "briarlead_blackboard/blackboard.h"
#include "briarlead_core/logger.h"
#include "briarlead_http/briarlead_http.h"
#include "briarlead_settings/briarlead_settings.h"

namespace briarlead {

/// Objects shared by the components of an entry process; they outlive all
/// components.
struct EntryContext {
  const EntrySettings& settings;
  Blackboard& blackboard;
  Logger& logger;
  HttpClient& http;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_ENTRY_CONTEXT_H_
