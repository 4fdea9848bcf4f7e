// The part of GatewayProcess that deals with client accounts and their keys.

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "briarlead_gateway/gateway_process.h"
#include "briarlead_net/loop_clock.h"

namespace briarlead {

namespace {

constexpr int kUnauthorized = 401;
constexpr int kUnavailable = 503;
/// Retry-After, in seconds, of a key that a newer list may contain.
constexpr std::string_view kRetryAfterUnsure = "0.5";

}  // namespace

bool GatewayProcess::FindAccount(const CallerRequestId& id,
                                 const Route& route,
                                 RequestFacts& facts,
                                 TimePoint now) {
  const AccountTable* accounts = table_->accounts();
  if (accounts == nullptr || route.is_public)
    return true;
  if (facts.key.form != KeyForm::kPresent) {
    RefuseWithoutKey(id, facts, ToString(facts.key.form), now);
    return false;
  }
  facts.account = accounts->Find(facts.key.digest);
  if (facts.account == nullptr) {
    RefuseUnknownKey(id, facts, now);
    return false;
  }
  std::optional<std::uint64_t> tokens;
  if (facts.has_token_counts)
    tokens = std::uint64_t{facts.prompt_tokens} + facts.max_output_tokens;
  facts.quota_amount = facts.account->quota.AmountOf(tokens);
  return true;
}

void GatewayProcess::RefuseWithoutKey(const CallerRequestId& id,
                                      const RequestFacts& facts,
                                      std::string_view why,
                                      TimePoint now) {
  metrics_.OnAccountRequest({}, AccountOutcome::kUnauthorized);
  logger_.Info(now, "request_refused",
               {{"request", facts.id},
                {"account", ""},
                {"why", why},
                {"routes_version", table_->list().version},
                {"lease_age_ms", gate_.LeaseAgeMs(now)}});
  HeaderFields fields;
  fields.Add("Content-Type", "text/plain");
  fields.Add("WWW-Authenticate", kBearerChallenge);
  callers_->Respond(id, kUnauthorized, fields, why);
}

void GatewayProcess::RefuseUnknownKey(const CallerRequestId& id,
                                      const RequestFacts& facts,
                                      TimePoint now) {
  if (key_lease_.IsRecent(now)) {
    RefuseWithoutKey(id, facts, "key_unknown", now);
    return;
  }
  metrics_.OnAccountRequest({}, AccountOutcome::kRefused);
  logger_.Info(now, "request_refused",
               {{"request", facts.id},
                {"account", ""},
                {"why", "list_may_be_old"},
                {"routes_version", table_->list().version},
                {"newest_version", key_lease_.newest_version()},
                {"confirmed_ms", ConfirmationAgeMs(now)}});
  metrics_.OnListMayBeOld();
  HeaderFields fields;
  fields.Add("Content-Type", "text/plain");
  fields.Add("Retry-After", kRetryAfterUnsure);
  callers_->Respond(id, kUnavailable, fields, "list_may_be_old");
}

}  // namespace briarlead
