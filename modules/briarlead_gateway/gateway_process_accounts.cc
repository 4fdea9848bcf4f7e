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

void GatewayProcess::RenewKeyLease(TimePoint now) {
  if (table_ == nullptr)
    return;
  std::vector<Endpoint> control_hosts;
  control_hosts.reserve(control_hosts_.size());
  for (const auto& [peer, host] : control_hosts_)
    control_hosts.push_back(peer);
  const std::optional<KeyLease::Question> question = key_lease_.Ask(
      table_->list().version, control_hosts, now,
      gate_.NeedsLease() ? KeyLease::kInterval : KeyLease::kListInterval);
  if (!question.has_value())
    return;
  const std::string message = EncodeRoutingMessage(
      KeyLeaseRequest{question->number, question->routes_version});
  for (const Endpoint& it : question->receivers)
    transport_->SendDatagram(it, Channel::kRouting, message);
}

std::int64_t GatewayProcess::ConfirmationAgeMs(TimePoint now) const {
  const std::optional<Duration> age = key_lease_.Age(now);
  if (!age.has_value())
    return -1;
  return std::chrono::duration_cast<std::chrono::milliseconds>(*age).count();
}

void GatewayProcess::OnKeyLeaseReply(const Endpoint& peer,
                                     const KeyLeaseReply& reply,
                                     TimePoint now) {
  const std::uint64_t own = table_ ? table_->list().version : 0;
  const bool was_held = key_lease_.IsHeld(now);
  const std::uint64_t newest = key_lease_.newest_version();
  key_lease_.OnAnswer(peer, reply.number, reply.routes_version, own);
  if (key_lease_.newest_version() > std::max(newest, own)) {
    logger_.Info(now, "routes_behind",
                 {{"routes_version", own},
                  {"newest_version", key_lease_.newest_version()},
                  {"told_by", ToString(peer)}});
    if (!behind_since_.has_value())
      behind_since_ = now;
  }
  if (gate_.NeedsLease() && !was_held && key_lease_.IsHeld(now)) {
    logger_.Info(now, "key_lease_held",
                 {{"granted_by", ToString(peer)}, {"routes_version", own}});
  }
}

}  // namespace briarlead
