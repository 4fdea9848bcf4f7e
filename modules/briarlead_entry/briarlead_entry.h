#ifndef BRIARLEAD_ENTRY_BRIARLEAD_ENTRY_H_
#define BRIARLEAD_ENTRY_BRIARLEAD_ENTRY_H_

// Umbrella header of briarlead_entry, the entry process. README.md lists the
// modules that it depends on.

#include "briarlead_entry/entry_process.h"

#endif  // BRIARLEAD_ENTRY_BRIARLEAD_ENTRY_H_
