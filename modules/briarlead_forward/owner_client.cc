#include "briarlead_forward/owner_client.h"

#include <algorithm>
#include <utility>

namespace briarlead {

namespace {

/// Returns the ready server that `incarnation` names; nullopt if this host
/// doesn't know it.
std::optional<ServerRecord> FindReady(const ServerDirectory& directory,
                                      const ServerIncarnation& incarnation) {
  const ServerDirectory::Entry* entry = directory.Find(incarnation.id);
  if (entry == nullptr || IncarnationOf(entry->record) != incarnation ||
      entry->record.state != ServerState::kReady) {
    return std::nullopt;
  }
  return entry->record;
}

}  // namespace

void OwnerClient::Ask(RequestKey key,
                      const AskForPlacement& ask,
                      TimePoint now) {
  Question& question = questions_[key];
  const ModelDemand& demand = ask.demand;
  const bool repeats = ask.is_repeat && question.request.number != 0;
  const std::uint32_t number =
      repeats ? question.request.number : ++last_number_;
  question.request = {key,
                      number,
                      demand.service,
                      demand.rank,
                      demand.prompt_tokens,
                      demand.output_tokens,
                      Duration::zero(),
                      demand.prefilled_by,
                      demand.tokens_since_prefill,
                      demand.data_centre,
                      ask.excluded,
                      demand.software};
  question.target = demand.target;
  if (repeats && question.is_open)
    return;
  Send(question, now);
}

void OwnerClient::Send(Question& question, TimePoint now) {
  const auto owner =
      std::find_if(owners_.begin(), owners_.end(), [&](const Endpoint& it) {
        const auto found = passed_over_until_.find(it);
        return found == passed_over_until_.end() || now >= found->second;
      });
  if (owner == owners_.end()) {
    question.is_open = false;
    commands_.emplace_back(NoOwnerAnswers{question.request.key});
    return;
  }
  // A late reply of the owner before must not count.
  if (question.owner != *owner && !question.owner.address.empty())
    question.request.number = ++last_number_;
  question.owner = *owner;
  question.is_open = true;
  question.due = now + kReplyTimeout;
  question.request.target_left = question.target - now;
  commands_.emplace_back(SendPlacementRequest{*owner, question.request});
}

bool OwnerClient::OnReply(const Endpoint& owner,
                          const EnginePlacementReply& reply,
                          TimePoint now) {
  passed_over_until_.erase(owner);
  const auto found = questions_.find(reply.key);
  if (found == questions_.end() ||
      found->second.request.number != reply.number) {
    return false;
  }
  Question& question = found->second;
  if (reply.verdict == PlacementVerdict::kNotOwner) {
    if (question.is_open && question.owner == owner) {
      passed_over_until_[owner] = now + kPassOverTime;
      Send(question, now);
    }
    return false;
  }
  question.is_open = false;
  return true;
}

void OwnerClient::OnWake(TimePoint now) {
  for (auto& [key, question] : questions_) {
    if (!question.is_open || now < question.due)
      continue;
    passed_over_until_[question.owner] = now + kPassOverTime;
    Send(question, now);
  }
}

TimePoint OwnerClient::NextWake() const {
  TimePoint next = TimePoint::max();
  for (const auto& [key, question] : questions_) {
    if (question.is_open)
      next = std::min(next, question.due);
  }
  return next;
}

std::vector<OwnerClientCommand> OwnerClient::TakeCommands() {
  return std::exchange(commands_, {});
}

std::optional<ModelPlacer::Answer> AnswerOf(const EnginePlacementReply& reply,
                                            const ServerDirectory& directory) {
  ModelPlacer::Answer answer;
  answer.expected_wait = reply.expected_wait;
  if (reply.verdict == PlacementVerdict::kNoEngine)
    answer.failure = PlacementFailure::kNoEngine;
  if (reply.verdict != PlacementVerdict::kPlaced)
    return answer;
  const std::optional<ServerRecord> decode = FindReady(directory, reply.decode);
  if (!decode.has_value())
    return std::nullopt;
  answer.placement = {*decode, std::nullopt, reply.prefill_backlog};
  if (!reply.prefill.has_value())
    return answer;
  answer.placement->prefill = FindReady(directory, *reply.prefill);
  if (!answer.placement->prefill.has_value())
    return std::nullopt;
  return answer;
}

}  // namespace briarlead
