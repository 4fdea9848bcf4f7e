#include "briarlead_limits/quota_issuer.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <utility>

#include "briarlead_limits/issuer_order.h"

namespace briarlead {

namespace {

/// Size of a want without its account's name and its amounts, encoded.
constexpr std::size_t kWantBytes = 24;

std::uint64_t SumOf(std::span<const std::uint64_t> amounts) {
  return std::accumulate(amounts.begin(), amounts.end(), std::uint64_t{0});
}

}  // namespace

QuotaIssuer::QuotaIssuer(Endpoint self,
                         DataCentreId data_centre,
                         const QuotaBounds& bounds,
                         std::uint32_t first_number)
    : self_(std::move(self)),
      data_centre_(std::move(data_centre)),
      bounds_(bounds),
      last_number_(first_number) {}

void QuotaIssuer::SetHosts(std::span<const EntryHost> hosts, TimePoint now) {
  std::set<DataCentreId> data_centres{data_centre_};
  for (const EntryHost& it : hosts)
    data_centres.insert(it.data_centre);
  data_centres_ = std::max(data_centres_, data_centres.size());
  hosts_ = HostsOfDataCentre(hosts, self_, data_centre_);
  UpdateHolders(now);
}

void QuotaIssuer::SetAccounts(std::span<const ClientAccount> accounts,
                              TimePoint now) {
  std::erase_if(accounts_, [&](const auto& it) {
    return std::none_of(
        accounts.begin(), accounts.end(), [&](const ClientAccount& account) {
          return account.id == it.first && account.quota.limited();
        });
  });
  for (const ClientAccount& it : accounts) {
    if (it.quota.limited())
      accounts_.try_emplace(it.id, it.quota, bounds_).first->second.quota =
          it.quota;
  }
  UpdateHolders(now);
}

bool QuotaIssuer::HoldsReserve(const CustomerId& account) const {
  const std::vector<Endpoint> order =
      IssuerOrder(hosts_, account, kReserveHolders);
  return std::find(order.begin(), order.end(), self_) != order.end();
}

void QuotaIssuer::UpdateHolders(TimePoint now) {
  if (hosts_.empty())
    return;
  for (auto& [id, account] : accounts_) {
    if (!HoldsReserve(id))
      account.holder_since.reset();
    else if (!account.holder_since.has_value())
      account.holder_since = now;
  }
}

void QuotaIssuer::OnRequest(const Endpoint& host,
                            const QuotaRequest& request,
                            TimePoint now) {
  const auto found = accounts_.find(request.account);
  if (found == accounts_.end())
    return;
  Account& account = found->second;
  const auto before = account.replies.find(host);
  if (before != account.replies.end() &&
      before->second.number == request.number) {
    commands_.emplace_back(SendQuotaReply{host, before->second});
    return;
  }
  const auto same_host = [&](const Pending& it) { return it.host == host; };
  const auto waiting =
      std::find_if(account.pending.begin(), account.pending.end(), same_host);
  if (waiting != account.pending.end() &&
      waiting->request.number == request.number) {
    return;
  }
  std::erase_if(account.pending, same_host);
  for (const std::uint64_t it : request.amounts)
    account.demand.Add(it, now);
  const Pending pending{host, request};
  if (account.pending.empty() &&
      account.stock.Available(now) >= SumOf(request.amounts)) {
    ReplyFromStock(account, pending, QuotaRefusal::kNone, now);
  } else if (!has_leader_) {
    ReplyFromStock(account, pending, QuotaRefusal::kUnknown, now);
    AskLeader(now);
  } else if (now < account.refuse_until) {
    ReplyFromStock(account, pending, QuotaRefusal::kBeyondQuota, now);
  } else {
    account.pending.push_back(pending);
    AskLeader(now);
  }
}

void QuotaIssuer::AddPending(Account& account, QuotaGrantRequest::Want& want) {
  for (Pending& it : account.pending) {
    const std::vector<std::uint64_t>& amounts = it.request.amounts;
    if (want.amounts.size() + amounts.size() > kMaxQuotaAmounts)
      break;
    want.amounts.insert(want.amounts.end(), amounts.begin(), amounts.end());
    it.asked = true;
  }
}

std::optional<QuotaGrantRequest::Want> QuotaIssuer::WantOf(
    const CustomerId& id,
    Account& account,
    TimePoint now) const {
  if (account.pending.empty() && has_leader_)
    return std::nullopt;
  QuotaGrantRequest::Want want;
  want.account = id;
  AddPending(account, want);
  const std::size_t requests = account.demand.Count(now);
  if (requests >= kDenseRequests) {
    const auto stock = static_cast<double>(account.stock.Available(now));
    want.ahead = static_cast<std::uint64_t>(
        std::max(0.0, account.demand.Sum(now) - stock));
  }
  if (want.amounts.empty() && requests == 0)
    return std::nullopt;
  return want;
}

void QuotaIssuer::AskLeader(TimePoint now) {
  if (question_.has_value() || (!has_leader_ && now < next_probe_))
    return;
  QuotaGrantRequest request;
  std::size_t bytes = 0;
  // Begins after the last account of the question before, so that each has its
  // turn.
  auto it = accounts_.upper_bound(last_asked_);
  for (std::size_t i = 0; i < accounts_.size(); ++i, ++it) {
    if (it == accounts_.end())
      it = accounts_.begin();
    if (request.wants.size() == QuotaGrantRequest::kMaxAccounts ||
        bytes >= kMaxQuestionBytes) {
      break;
    }
    std::optional<QuotaGrantRequest::Want> want =
        WantOf(it->first, it->second, now);
    if (!want.has_value())
      continue;
    last_asked_ = it->first;
    bytes += kWantBytes + it->first.value().size() +
             want->amounts.size() * sizeof(std::uint64_t);
    request.wants.push_back(std::move(*want));
  }
  if (request.wants.empty())
    return;
  request.number = ++last_number_;
  next_probe_ = now + kProbeInterval;
  question_ = {std::move(request), now, now + kRepeatInterval,
               now + kLeaderTimeout};
  commands_.emplace_back(SendGrantRequest{leader_, question_->request});
}

void QuotaIssuer::OnGrantReply(const Endpoint& control_host,
                               const QuotaGrantReply& reply,
                               TimePoint now) {
  leader_ = control_host;
  has_leader_ = true;
  if (!question_.has_value() || question_->request.number != reply.number)
    return;
  const Question question = *std::exchange(question_, std::nullopt);
  const TimePoint lapses_at = question.sent_at + kGrantLife;
  for (const QuotaGrantReply::Grant& it : reply.grants) {
    const auto found = accounts_.find(it.account);
    const auto want = std::find_if(
        question.request.wants.begin(), question.request.wants.end(),
        [&](const auto& w) { return w.account == it.account; });
    if (found == accounts_.end() || want == question.request.wants.end())
      continue;
    const std::span<const std::uint64_t> amounts(want->amounts);
    const std::size_t granted =
        std::min<std::size_t>(it.granted, amounts.size());
    found->second.stock.Add(SumOf(amounts.first(granted)) + it.ahead,
                            lapses_at);
    if (granted < amounts.size()) {
      found->second.room_at = now + it.next_in;
      found->second.refuse_until = now + std::min(it.next_in, kMaxRefuseTime);
    }
  }
  for (auto& [id, account] : accounts_) {
    std::vector<Pending> pending = std::exchange(account.pending, {});
    for (Pending& it : pending) {
      if (it.asked)
        ReplyFromStock(account, it, QuotaRefusal::kBeyondQuota, now);
      else
        account.pending.push_back(std::move(it));
    }
  }
  AskLeader(now);
}

bool QuotaIssuer::TakeReserve(Account& account,
                              std::uint64_t amount,
                              TimePoint now) const {
  // What another host, or this one before a restart, has handed out before is
  // no longer counted after this time.
  if (!account.holder_since.has_value() ||
      now - *account.holder_since < ReserveWindow(bounds_)) {
    return false;
  }
  const double share = ReserveOf(account.quota, bounds_) /
                       static_cast<double>(data_centres_ * kReserveHolders);
  if (account.reserve_used.Sum(now) + static_cast<double>(amount) > share)
    return false;
  account.reserve_used.Add(amount, now);
  return true;
}

void QuotaIssuer::ReplyFromStock(Account& account,
                                 const Pending& pending,
                                 QuotaRefusal refusal,
                                 TimePoint now) {
  const std::vector<std::uint64_t>& amounts = pending.request.amounts;
  QuotaReply reply;
  reply.number = pending.request.number;
  reply.account = pending.request.account;
  for (const std::uint64_t it : amounts) {
    const bool taken =
        account.stock.Take(it, now).has_value() ||
        (refusal == QuotaRefusal::kUnknown && TakeReserve(account, it, now));
    if (!taken)
      break;
    ++reply.granted;
  }
  if (reply.granted == amounts.size()) {
    reply.ahead = std::min(pending.request.ahead, account.stock.Available(now));
    if (reply.ahead > 0)
      account.stock.Take(reply.ahead, now);
  } else if (refusal == QuotaRefusal::kUnknown) {
    reply.refusal = refusal;
    reply.next_in = kRetryWithoutLeader;
  } else {
    reply.refusal = QuotaRefusal::kBeyondQuota;
    const double rate = account.quota.rate_per_second;
    const TimePoint earliest = std::max(account.room_at, now);
    for (std::size_t i = reply.granted; i < amounts.size(); ++i) {
      const TimePoint told = account.retry_times.Tell(
          earliest, FromSeconds(static_cast<double>(amounts[i]) / rate));
      if (i == reply.granted)
        reply.next_in = told - now;
    }
  }
  account.replies[pending.host] = reply;
  commands_.emplace_back(SendQuotaReply{pending.host, std::move(reply)});
}

void QuotaIssuer::OnNoLeader(TimePoint now) {
  question_.reset();
  leader_.reset();
  has_leader_ = false;
  for (auto& [id, account] : accounts_) {
    for (const Pending& it : std::exchange(account.pending, {}))
      ReplyFromStock(account, it, QuotaRefusal::kUnknown, now);
  }
}

void QuotaIssuer::OnWake(TimePoint now) {
  if (!question_.has_value())
    return;
  if (now >= question_->due) {
    OnNoLeader(now);
  } else if (now >= question_->repeat_at) {
    question_->repeat_at = now + kRepeatInterval;
    commands_.emplace_back(SendGrantRequest{std::nullopt, question_->request});
  }
}

TimePoint QuotaIssuer::NextWake() const {
  return question_.has_value() ? std::min(question_->due, question_->repeat_at)
                               : TimePoint::max();
}

std::vector<QuotaIssuerCommand> QuotaIssuer::TakeCommands() {
  return std::exchange(commands_, {});
}

}  // namespace briarlead
