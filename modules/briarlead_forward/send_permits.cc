#include "briarlead_forward/send_permits.h"

#include <algorithm>
#include <utility>

#include "briarlead_forward/permit_issuer.h"

namespace briarlead {

namespace {

bool StartsBefore(const SendPermit& left, const SendPermit& right) {
  return left.starts_at < right.starts_at;
}

/// Latest start that a reply may name.
constexpr Duration kMaxStart = std::chrono::minutes(10);

Duration Bounded(Duration time, Duration most) {
  return std::clamp(time, Duration::zero(), most);
}

}  // namespace

bool SendPermits::MaySend(const ServerIncarnation& server,
                          TimePoint now) const {
  const double limit = limits_.LimitOf(server);
  if (limit == kNoRateLimit)
    return true;
  const auto found = states_.find(server);
  if (found == states_.end() || limit < kVoidingShare * found->second.limit)
    return false;
  const std::vector<SendPermit>& permits = found->second.permits;
  return std::any_of(permits.begin(), permits.end(), [now](const auto& it) {
    return it.starts_at <= now && now < it.ends_at;
  });
}

void SendPermits::Use(const ServerIncarnation& server, TimePoint now) {
  Claim(server, now, now);
}

std::optional<SendPermit> SendPermits::Claim(const ServerIncarnation& server,
                                             TimePoint latest,
                                             TimePoint now) {
  const auto found = states_.find(server);
  if (found == states_.end())
    return std::nullopt;
  DropLapsed(server, found->second, now);
  std::vector<SendPermit>& permits = found->second.permits;
  if (permits.empty() || permits.front().starts_at > latest)
    return std::nullopt;
  const SendPermit permit = permits.front();
  permits.erase(permits.begin());
  return permit;
}

void SendPermits::Return(const SendPermit& permit) {
  const auto found = states_.find(permit.server);
  if (found == states_.end())
    return;
  std::vector<SendPermit>& permits = found->second.permits;
  permits.insert(
      std::upper_bound(permits.begin(), permits.end(), permit, StartsBefore),
      permit);
}

void SendPermits::DropLapsed(const ServerIncarnation& server,
                             State& state,
                             TimePoint now) {
  const bool all_void = limits_.LimitOf(server) < kVoidingShare * state.limit;
  std::erase_if(state.permits, [&](const SendPermit& it) {
    return all_void || now >= it.ends_at;
  });
}

const Endpoint* SendPermits::OwnerToAsk(const ServerIncarnation& server,
                                        TimePoint now) const {
  const std::vector<Endpoint>& owners = owners_.Of(server.id);
  const auto owner =
      std::find_if(owners.begin(), owners.end(), [&](const Endpoint& it) {
        const auto found = passed_over_until_.find(it);
        return found == passed_over_until_.end() || now >= found->second;
      });
  return owner == owners.end() ? nullptr : &*owner;
}

void SendPermits::Want(const ServerIncarnation& server,
                       Duration within,
                       TimePoint now) {
  if (!limits_.IsLimited(server))
    return;
  State& state = states_[server];
  DropLapsed(server, state, now);
  state.wanted = std::min(state.wanted + 1, PermitIssuer::kMaxGranted);
  if (state.question.has_value() && now < state.question->due)
    return;
  if (state.question.has_value()) {
    passed_over_until_[state.question->owner] = now + kPassOverTime;
    state.question.reset();
  }
  // Only a request that waits asks earlier than the owner said, if a permit
  // could be free in its time.
  const bool may_not_ask =
      within <= kPrefetchTime || now + within < state.next_start_at;
  const bool is_early = now < state.next_question_at && may_not_ask;
  if (!state.permits.empty() || is_early)
    return;
  const Endpoint* owner = OwnerToAsk(server, now);
  if (owner == nullptr)
    return;
  state.question = {++last_number_, *owner, now + kReplyTimeout};
  questions_.push_back(
      {*owner,
       {last_number_, limits_.NoticeOf(server, now), state.wanted, within}});
}

TimePoint SendPermits::EarliestStart(const ServerIncarnation& server,
                                     TimePoint now) const {
  const auto found = states_.find(server);
  if (found == states_.end())
    return now;
  const State& state = found->second;
  if (state.question.has_value())
    return std::max(now, state.question->due);
  if (!state.permits.empty())
    return std::max(now, state.permits.front().starts_at);
  if (OwnerToAsk(server, now) == nullptr)
    return now + kPassOverTime;
  return std::max(now, state.next_start_at);
}

bool SendPermits::OnReply(const Endpoint& owner,
                          const SendPermitReply& reply,
                          TimePoint now) {
  passed_over_until_.erase(owner);
  const auto found = states_.find(reply.limit.server);
  if (found == states_.end())
    return false;
  State& state = found->second;
  if (!state.question.has_value() || state.question->number != reply.number)
    return false;
  state.question.reset();
  state.wanted = 0;
  state.next_question_at =
      reply.granted > 0 ? now : now + Bounded(reply.next_in, kMaxStart);
  state.next_start_at =
      reply.granted > 0 ? now : now + Bounded(reply.starts_in, kMaxStart);
  state.limit = reply.limit.per_second;
  const std::uint32_t granted =
      std::min(reply.granted, PermitIssuer::kMaxGranted);
  const Duration spacing = Bounded(reply.spacing, PermitIssuer::kMaxAhead);
  for (std::uint32_t it = 0; it < granted; ++it) {
    const TimePoint start =
        now + Bounded(reply.starts_in, kMaxStart) + it * spacing;
    state.permits.push_back({reply.limit.server, start, start + kPermitLife});
  }
  std::sort(state.permits.begin(), state.permits.end(), StartsBefore);
  return true;
}

void SendPermits::Expire(TimePoint now) {
  std::erase_if(
      states_, [this](const auto& it) { return !limits_.IsLimited(it.first); });
  std::erase_if(passed_over_until_,
                [now](const auto& it) { return now >= it.second; });
}

std::vector<AskForPermits> SendPermits::TakeQuestions() {
  return std::exchange(questions_, {});
}

}  // namespace briarlead
