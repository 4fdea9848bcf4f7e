#include "briarlead_limits/quota_client.h"

#include <algorithm>
#include <utility>

#include "briarlead_limits/issuer_order.h"

namespace briarlead {

namespace {

Duration RefillTime(std::uint64_t amount, const AccountQuota& quota) {
  return FromSeconds(static_cast<double>(amount) / quota.rate_per_second);
}

}  // namespace

QuotaClient::QuotaClient(Endpoint self,
                         DataCentreId data_centre,
                         const QuotaBounds& bounds,
                         std::uint32_t first_number)
    : self_(std::move(self)),
      data_centre_(std::move(data_centre)),
      bounds_(bounds),
      hosts_{{self_, data_centre_}},
      last_number_(first_number) {}

void QuotaClient::SetHosts(std::span<const EntryHost> hosts) {
  hosts_ = HostsOfDataCentre(hosts, self_, data_centre_);
  for (auto& [id, account] : accounts_)
    account.order.clear();
}

void QuotaClient::Ask(const QuotaNeed& need, TimePoint now) {
  Account& account = accounts_[need.account];
  account.quota = need.quota;
  if (!FitsQuota(need.quota, need.amount, bounds_)) {
    Refuse(need, QuotaRefusal::kBeyondQuota, bounds_.window);
    return;
  }
  account.demand.Add(need.amount, now);
  if (account.waiting.empty()) {
    const std::optional<TimePoint> lapses_at =
        account.lots.Take(need.amount, now);
    if (lapses_at.has_value()) {
      Admit(need, *lapses_at);
      return;
    }
  }
  if (now < account.ask_at && account.room_at > need.latest) {
    const TimePoint told = account.retry_times.Tell(
        account.room_at, RefillTime(need.amount, need.quota));
    Refuse(need, QuotaRefusal::kBeyondQuota, told - now);
    return;
  }
  account.waiting.push_back(need);
  SendQuestion(need.account, account, now);
}

Endpoint QuotaClient::ChooseIssuer(const CustomerId& id,
                                   Account& account,
                                   TimePoint now) const {
  if (account.order.empty())
    account.order = IssuerOrder(hosts_, id, kIssuers);
  for (const Endpoint& it : account.order) {
    const auto found = passed_over_until_.find(it);
    if (found == passed_over_until_.end() || now >= found->second)
      return it;
  }
  return self_;
}

void QuotaClient::SendQuestion(const CustomerId& id,
                               Account& account,
                               TimePoint now) {
  if (account.question.has_value() || account.waiting.empty() ||
      now < account.ask_at) {
    return;
  }
  Question question;
  question.issuer = ChooseIssuer(id, account, now);
  question.request.number = ++last_number_;
  question.request.account = id;
  for (const QuotaNeed& it : account.waiting) {
    if (question.keys.size() == kMaxQuotaAmounts)
      break;
    question.keys.push_back(it.key);
    question.request.amounts.push_back(it.amount);
  }
  if (account.demand.Count(now) >= kDenseRequests)
    question.request.ahead =
        static_cast<std::uint64_t>(account.demand.Sum(now));
  question.sent_at = now;
  question.repeat_at = now + kRepeatInterval;
  question.due = now + kReplyTimeout;
  commands_.emplace_back(SendQuotaRequest{question.issuer, question.request});
  account.question = std::move(question);
}

std::optional<QuotaNeed> QuotaClient::TakeWaiting(Account& account,
                                                  std::uint64_t key) {
  const auto found =
      std::find_if(account.waiting.begin(), account.waiting.end(),
                   [key](const QuotaNeed& it) { return it.key == key; });
  if (found == account.waiting.end())
    return std::nullopt;
  QuotaNeed need = std::move(*found);
  account.waiting.erase(found);
  return need;
}

void QuotaClient::Admit(const QuotaNeed& need, TimePoint lapses_at) {
  commands_.emplace_back(QuotaAnswer{need.key, need.account, need.amount,
                                     QuotaRefusal::kNone, lapses_at});
}

void QuotaClient::Refuse(const QuotaNeed& need,
                         QuotaRefusal refusal,
                         Duration retry_after) {
  commands_.emplace_back(QuotaAnswer{need.key, need.account, need.amount,
                                     refusal, TimePoint(), retry_after});
}

void QuotaClient::OnReply(const Endpoint& issuer,
                          const QuotaReply& reply,
                          TimePoint now) {
  passed_over_until_.erase(issuer);
  const auto found = accounts_.find(reply.account);
  if (found == accounts_.end() || !found->second.question.has_value())
    return;
  Account& account = found->second;
  if (account.question->issuer != issuer ||
      account.question->request.number != reply.number) {
    return;
  }
  const Question question = *std::exchange(account.question, std::nullopt);
  const TimePoint lapses_at = question.sent_at + kGrantLife;
  if (now < lapses_at) {
    account.lots.Add(reply.ahead, lapses_at);
    std::uint64_t granted = reply.ahead;
    for (std::size_t i = 0; i < question.keys.size() && i < reply.granted;
         ++i) {
      granted += question.request.amounts[i];
      const std::optional<QuotaNeed> need =
          TakeWaiting(account, question.keys[i]);
      if (need.has_value())
        Admit(*need, lapses_at);
      else
        account.lots.Add(question.request.amounts[i], lapses_at);
    }
    commands_.emplace_back(QuotaGranted{reply.account, granted});
  }
  HandleRefused(account, question, reply, now);
  RefuseLate(account, now);
  SendQuestion(reply.account, account, now);
}

void QuotaClient::HandleRefused(Account& account,
                                const Question& question,
                                const QuotaReply& reply,
                                TimePoint now) {
  if (reply.refusal == QuotaRefusal::kNone)
    return;
  TimePoint told = now + reply.next_in;
  if (reply.refusal == QuotaRefusal::kBeyondQuota) {
    account.room_at = told;
    account.ask_at =
        now + std::clamp(reply.next_in, kMinAskAgain, kMaxAskAgain);
  }
  for (std::size_t i = reply.granted; i < question.keys.size(); ++i) {
    const auto waiting = std::find_if(
        account.waiting.begin(), account.waiting.end(),
        [&](const QuotaNeed& it) { return it.key == question.keys[i]; });
    if (waiting == account.waiting.end())
      continue;
    if (reply.refusal == QuotaRefusal::kUnknown) {
      Refuse(*waiting, reply.refusal, reply.next_in);
    } else {
      told = account.retry_times.Tell(
          now + reply.next_in, RefillTime(waiting->amount, account.quota));
      if (told <= waiting->latest)
        continue;
      Refuse(*waiting, reply.refusal, told - now);
    }
    account.waiting.erase(waiting);
  }
}

void QuotaClient::RefuseLate(Account& account, TimePoint now) {
  const bool is_beyond = account.room_at > now;
  std::erase_if(account.waiting, [&](const QuotaNeed& it) {
    if (now < it.latest)
      return false;
    if (is_beyond)
      Refuse(it, QuotaRefusal::kBeyondQuota, account.room_at - now);
    else
      Refuse(it, QuotaRefusal::kUnknown, kRetryUnanswered);
    return true;
  });
}

void QuotaClient::Forget(std::uint64_t key) {
  for (auto& [id, account] : accounts_) {
    if (TakeWaiting(account, key).has_value())
      return;
  }
}

void QuotaClient::OnWake(TimePoint now) {
  for (auto& [id, account] : accounts_) {
    std::optional<Question>& question = account.question;
    if (question.has_value() && now >= question->due) {
      if (question->issuer != self_)
        passed_over_until_[question->issuer] = now + kPassOverTime;
      question.reset();
    } else if (question.has_value() && now >= question->repeat_at) {
      question->repeat_at = now + kRepeatInterval;
      commands_.emplace_back(
          SendQuotaRequest{question->issuer, question->request});
    }
    RefuseLate(account, now);
    SendQuestion(id, account, now);
  }
}

TimePoint QuotaClient::NextWake() const {
  TimePoint next = TimePoint::max();
  for (const auto& [id, account] : accounts_) {
    for (const QuotaNeed& it : account.waiting)
      next = std::min(next, it.latest);
    if (account.question.has_value())
      next =
          std::min({next, account.question->repeat_at, account.question->due});
    else if (!account.waiting.empty())
      next = std::min(next, account.ask_at);
  }
  return next;
}

std::vector<QuotaClientCommand> QuotaClient::TakeCommands() {
  return std::exchange(commands_, {});
}

}  // namespace briarlead
