#include "briarlead_accounts/account_table.h"

namespace briarlead {

AccountTable::AccountTable(std::span<const ClientAccount> accounts)
    : accounts_(accounts) {
  for (std::size_t i = 0; i < accounts.size(); ++i) {
    for (const KeyDigest& it : accounts[i].keys)
      keys_.Add(it, i);
  }
}

const ClientAccount* AccountTable::Find(const KeyDigest& digest) const {
  const std::optional<std::size_t> position = keys_.Find(digest);
  return position.has_value() ? &accounts_[*position] : nullptr;
}

}  // namespace briarlead
