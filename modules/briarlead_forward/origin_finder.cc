#include "briarlead_forward/origin_finder.h"

#include <algorithm>
#include <utility>

#include "briarlead_forward/stream_origins.h"

namespace briarlead {

void OriginFinder::Ask(RequestKey key,
                       StreamId stream,
                       std::span<const Endpoint> control_hosts,
                       TimePoint now) {
  Question& question = questions_[key];
  question.stream = stream;
  question.unanswered = HoldersOf(stream, control_hosts, kHostsAsked);
  question.ends = now + kTimeout;
  Send(question, now);
}

void OriginFinder::Send(Question& question, TimePoint now) {
  question.repeat_at = now + kRepeatInterval;
  for (const Endpoint& it : question.unanswered)
    commands_.emplace_back(SendOriginQuery{it, {question.stream}});
}

void OriginFinder::OnReply(const Endpoint& host,
                           const StreamOriginReply& reply) {
  for (auto it = questions_.begin(); it != questions_.end();) {
    Question& question = it->second;
    const bool is_asked = question.stream == reply.stream;
    if (is_asked)
      std::erase(question.unanswered, host);
    const bool is_answer =
        reply.origin.has_value() || question.unanswered.empty();
    if (!is_asked || !is_answer) {
      ++it;
      continue;
    }
    commands_.emplace_back(OriginFound{it->first, reply.origin});
    it = questions_.erase(it);
  }
}

void OriginFinder::OnWake(TimePoint now) {
  std::erase_if(questions_, [&](const auto& it) {
    if (now < it.second.ends && !it.second.unanswered.empty())
      return false;
    commands_.emplace_back(OriginFound{it.first, std::nullopt});
    return true;
  });
  for (auto& [key, question] : questions_) {
    if (now >= question.repeat_at)
      Send(question, now);
  }
}

TimePoint OriginFinder::NextWake() const {
  TimePoint next = TimePoint::max();
  for (const auto& [key, question] : questions_) {
    const bool has_asked = !question.unanswered.empty();
    next = std::min({next, question.ends,
                     has_asked ? question.repeat_at : TimePoint::min()});
  }
  return next;
}

std::vector<OriginFinderCommand> OriginFinder::TakeCommands() {
  return std::exchange(commands_, {});
}

}  // namespace briarlead
