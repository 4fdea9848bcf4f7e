#include "briarlead_placement/slot_client.h"

#include <algorithm>
#include <utility>

namespace briarlead {

void SlotClient::Ask(std::uint64_t key,
                     const SlotDemand& demand,
                     std::vector<Endpoint> schedulers,
                     TimePoint now) {
  questions_[key] = {demand, std::move(schedulers), 0, {}, {}, {}};
  SendToNext(key, now);
}

void SlotClient::SendToNext(std::uint64_t key, TimePoint now) {
  Question& question = questions_.at(key);
  const auto scheduler = std::find_if(
      question.schedulers.begin(), question.schedulers.end(),
      [&](const Endpoint& it) {
        const auto found = passed_over_until_.find(it);
        return found == passed_over_until_.end() || now >= found->second;
      });
  if (scheduler == question.schedulers.end()) {
    questions_.erase(key);
    commands_.emplace_back(NoSlotScheduler{key});
    return;
  }
  question.number = ++last_number_;
  question.scheduler = *scheduler;
  question.answer_due = now + kReplyTimeout;
  question.resend_at = now + kResendAfter;
  Send(key, question, now);
}

void SlotClient::Send(std::uint64_t key,
                      const Question& question,
                      TimePoint now) {
  const SlotDemand& it = question.demand;
  commands_.emplace_back(SendSlotRequest{
      question.scheduler,
      {key, question.number, it.service, it.rank, it.target - now,
       it.deadline - now, it.data_centre, it.excluded, it.account, it.weight}});
}

bool SlotClient::OnReply(const Endpoint& scheduler,
                         const SlotReply& reply,
                         TimePoint now) {
  passed_over_until_.erase(scheduler);
  const auto found = questions_.find(reply.key);
  const bool is_open = found != questions_.end() &&
                       found->second.number == reply.number &&
                       found->second.scheduler == scheduler;
  if (!is_open) {
    const auto slot = slots_.find(reply.key);
    const bool in_use =
        slot != slots_.end() && slot->second.number == reply.number;
    if (reply.verdict == SlotVerdict::kGranted && !in_use) {
      commands_.emplace_back(SendSlotRelease{
          scheduler,
          {reply.key, reply.number, SlotOutcome::kUnused, Duration::zero()}});
    }
    return false;
  }
  if (reply.verdict == SlotVerdict::kMustWait) {
    found->second.answer_due = TimePoint::max();
    found->second.resend_at = now + kRepeatInterval;
    return true;
  }
  if (reply.verdict == SlotVerdict::kGranted)
    slots_[reply.key] = {scheduler, reply.number, now};
  questions_.erase(found);
  return true;
}

void SlotClient::Release(std::uint64_t key,
                         SlotOutcome outcome,
                         TimePoint now) {
  const auto slot = slots_.find(key);
  if (slot == slots_.end())
    return;
  commands_.emplace_back(SendSlotRelease{
      slot->second.scheduler,
      {key, slot->second.number, outcome, now - slot->second.since}});
  slots_.erase(slot);
}

void SlotClient::Forget(std::uint64_t key, TimePoint now) {
  questions_.erase(key);
  Release(key, SlotOutcome::kUnused, now);
}

void SlotClient::OnWake(TimePoint now) {
  std::vector<std::uint64_t> unanswered;
  for (auto& [key, it] : questions_) {
    if (now >= it.answer_due) {
      passed_over_until_[it.scheduler] = now + kPassOverTime;
      unanswered.push_back(key);
    } else if (now >= it.resend_at) {
      const bool waits = it.answer_due == TimePoint::max();
      it.resend_at = waits ? now + kRepeatInterval : TimePoint::max();
      // A scheduler that has ended keeps no waiting requests.
      if (waits)
        it.answer_due = now + kReplyTimeout;
      Send(key, it, now);
    }
  }
  for (const std::uint64_t it : unanswered)
    SendToNext(it, now);
}

TimePoint SlotClient::NextWake() const {
  TimePoint next = TimePoint::max();
  for (const auto& [key, it] : questions_)
    next = std::min({next, it.answer_due, it.resend_at});
  return next;
}

std::vector<SlotClientCommand> SlotClient::TakeCommands() {
  return std::exchange(commands_, {});
}

}  // namespace briarlead
