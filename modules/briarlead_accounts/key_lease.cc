#include "briarlead_accounts/key_lease.h"

#include <algorithm>

namespace briarlead {

std::optional<KeyLease::Question> KeyLease::Ask(
    std::uint64_t routes_version,
    std::span<const Endpoint> control_hosts,
    TimePoint now,
    Duration interval) {
  const bool no_answer = unanswered_since_.has_value() &&
                         now - *unanswered_since_ >= kAnswerTimeout;
  if (no_answer && leader_.has_value() && !asked_all_) {
    leader_.reset();
    AskSoon();
  }
  if (now < next_question_)
    return std::nullopt;
  next_question_ = now + interval;
  std::erase_if(sent_at_,
                [&](const auto& it) { return now - it.second >= duration_; });
  Question question{++last_number_, routes_version, {}};
  sent_at_[question.number] = now;
  unanswered_since_ = now;
  const bool is_known =
      leader_.has_value() &&
      std::ranges::find(control_hosts, *leader_) != control_hosts.end();
  asked_all_ = !is_known;
  if (is_known)
    question.receivers.push_back(*leader_);
  else
    question.receivers.assign(control_hosts.begin(), control_hosts.end());
  return question;
}

bool KeyLease::OnAnswer(const Endpoint& leader,
                        std::uint64_t number,
                        std::uint64_t version,
                        std::uint64_t own_version) {
  const auto question = sent_at_.find(number);
  if (question == sent_at_.end())
    return false;
  if (number == last_number_) {
    leader_ = leader;
    unanswered_since_.reset();
  }
  newest_version_ = std::max(newest_version_, version);
  // A host may have received a newer list since the leader answered; the list
  // that it had before is then not in use any more.
  if (version > own_version)
    return false;
  confirmed_at_ =
      std::max(confirmed_at_.value_or(TimePoint::min()), question->second);
  return true;
}

bool KeyLease::IsHeld(TimePoint now) const {
  return confirmed_at_.has_value() && now - *confirmed_at_ < duration_;
}

std::optional<Duration> KeyLease::Age(TimePoint now) const {
  if (!confirmed_at_.has_value())
    return std::nullopt;
  return now - *confirmed_at_;
}

bool KeyLease::IsRecent(TimePoint now) const {
  return confirmed_at_.has_value() && now - *confirmed_at_ < kRecentAge;
}

}  // namespace briarlead
