// The part of GatewayProcess that keeps the list of routes, and knows how old
// it may be.

#include <algorithm>
#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "briarlead_gateway/gateway_process.h"
#include "briarlead_net/loop_clock.h"

namespace briarlead {

namespace {

/// Retry-After, in seconds, of a route that a newer list may contain.
constexpr char kRetryAfterUnsure[] = "0.5";

std::int64_t MillisecondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(to - from)
      .count();
}

}  // namespace

void GatewayProcess::ApplyRoutes(std::string_view text, TimePoint now) {
  // Several control hosts send the same list, and reading a long one takes
  // long.
  const std::size_t hash = std::hash<std::string_view>()(text);
  if (std::exchange(routes_text_hash_, hash) == hash)
    return;
  Findings findings;
  std::optional<RouteList> list = codec_.read_routes(text, findings);
  if (!list.has_value()) {
    logger_.Failure(now, "routes_unreadable",
                    {{"findings", findings.Format()}});
    return;
  }
  const std::uint64_t held = table_ ? table_->list().version : 0;
  if (list->version <= held)
    return;
  const RequestLimits& limits = list->limits;
  callers_->SetLimits({{limits.max_head_bytes, limits.max_body_bytes},
                       limits.head_timeout,
                       limits.idle_timeout});
  relay_service_->SetLimits({limits.max_head_bytes, limits.max_body_bytes});
  table_ = std::make_shared<const RouteTable>(std::move(*list));
  gate_.SetTable(table_);
  key_lease_.AskSoon();
  RenewKeyLease(now);
  SetQuotaAccounts(now);
  logger_.Info(
      now, "routes_in_force",
      {{"version", table_->list().version},
       {"before", held},
       {"routes", table_->list().routes.size()},
       {"took_ms", MillisecondsBetween(now, LoopNow())},
       {"behind_ms", MillisecondsBetween(behind_since_.value_or(now), now)}});
  if (table_->list().version >= key_lease_.newest_version())
    behind_since_.reset();
}

void GatewayProcess::RefuseUnknownRoute(const CallerRequestId& id,
                                        const RequestFacts& facts,
                                        TimePoint now) {
  // Followers don't know yet what a leader that was lost has acknowledged.
  const bool is_sure = key_lease_.IsRecent(now);
  logger_.Info(now, "request_refused",
               {{"request", facts.id},
                {"why", is_sure ? "no_route" : "list_may_be_old"},
                {"routes_version", table_->list().version},
                {"newest_version", key_lease_.newest_version()},
                {"confirmed_ms", ConfirmationAgeMs(now)}});
  if (is_sure) {
    callers_->Respond(id, 404, {}, "no such route\n");
    return;
  }
  metrics_.OnListMayBeOld();
  HeaderFields fields;
  fields.Add("Retry-After", kRetryAfterUnsure);
  callers_->Respond(id, 503, fields, "the list of routes may be old\n");
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
