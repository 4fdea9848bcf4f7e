#ifndef BRIARLEAD_LIMITS_BRIARLEAD_LIMITS_H_
#define BRIARLEAD_LIMITS_BRIARLEAD_LIMITS_H_

// Umbrella header of briarlead_limits: quotas of client accounts over the whole
// fleet. Depends on briarlead_core, briarlead_accounts, briarlead_routes.

#include "briarlead_limits/amount_lots.h"
#include "briarlead_limits/issuer_order.h"
#include "briarlead_limits/quota_bounds.h"
#include "briarlead_limits/quota_client.h"
#include "briarlead_limits/quota_counters.h"
#include "briarlead_limits/quota_issuer.h"
#include "briarlead_limits/quota_ledger.h"
#include "briarlead_limits/recent_sum.h"
#include "briarlead_limits/retry_times.h"

#endif  // BRIARLEAD_LIMITS_BRIARLEAD_LIMITS_H_
