#ifndef BRIARLEAD_ACCOUNTS_ACCOUNT_TABLE_H_
#define BRIARLEAD_ACCOUNTS_ACCOUNT_TABLE_H_

#include <span>

#include "briarlead_accounts/client_account.h"
#include "briarlead_accounts/key_index.h"

namespace briarlead {

/// Finds client accounts by the digests of their keys.
class AccountTable {
 public:
  /// `accounts` must outlive the table. No two of them share a key.
  explicit AccountTable(std::span<const ClientAccount> accounts);

  /// Returns the account with the key `digest`; null if there is none.
  [[nodiscard]] const ClientAccount* Find(const KeyDigest& digest) const;

 private:
  std::span<const ClientAccount> accounts_;
  KeyIndex keys_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ACCOUNTS_ACCOUNT_TABLE_H_
