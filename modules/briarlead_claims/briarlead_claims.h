#ifndef BRIARLEAD_CLAIMS_BRIARLEAD_CLAIMS_H_
#define BRIARLEAD_CLAIMS_BRIARLEAD_CLAIMS_H_

// Umbrella header of briarlead_claims: at-most-once execution of non-idempotent
// calls. Depends on briarlead_core.

#include "briarlead_claims/claim_coordinator.h"
#include "briarlead_claims/claim_messages.h"
#include "briarlead_claims/claim_table.h"
#include "briarlead_claims/content_digest.h"

#endif  // BRIARLEAD_CLAIMS_BRIARLEAD_CLAIMS_H_
