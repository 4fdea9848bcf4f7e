#ifndef BRIARLEAD_LISTS_BRIARLEAD_LISTS_H_
#define BRIARLEAD_LISTS_BRIARLEAD_LISTS_H_

// Umbrella header of briarlead_lists: parses and checks the lists of customers
// and plans that operators edit, and looks up their entries. Depends on
// briarlead_accounts, briarlead_core and briarlead_json.

#include "briarlead_lists/lists.h"
#include "briarlead_lists/parse_lists.h"
#include "briarlead_lists/plan.h"

#endif  // BRIARLEAD_LISTS_BRIARLEAD_LISTS_H_
