#ifndef BRIARLEAD_ACCOUNTS_BRIARLEAD_ACCOUNTS_H_
#define BRIARLEAD_ACCOUNTS_BRIARLEAD_ACCOUNTS_H_

// Umbrella header of briarlead_accounts: client accounts, their keys and
// quotas. Depends on briarlead_core.

#include "briarlead_accounts/account_table.h"
#include "briarlead_accounts/bearer_key.h"
#include "briarlead_accounts/client_account.h"
#include "briarlead_accounts/key_digest.h"
#include "briarlead_accounts/key_index.h"
#include "briarlead_accounts/key_lease.h"
#include "briarlead_accounts/key_lease_grant.h"
#include "briarlead_accounts/request_rank.h"
#include "briarlead_accounts/sha256.h"

#endif  // BRIARLEAD_ACCOUNTS_BRIARLEAD_ACCOUNTS_H_
