#ifndef BRIARLEAD_SETTINGS_BRIARLEAD_SETTINGS_H_
#define BRIARLEAD_SETTINGS_BRIARLEAD_SETTINGS_H_

// Umbrella header of briarlead_settings: reads and checks the settings files of
// entry and control processes and of the gateway and registry roles. Depends on
// briarlead_core and briarlead_json.

#include "briarlead_settings/control_settings.h"
#include "briarlead_settings/entry_settings.h"
#include "briarlead_settings/routing_settings.h"

#endif  // BRIARLEAD_SETTINGS_BRIARLEAD_SETTINGS_H_
