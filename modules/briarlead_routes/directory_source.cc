#include "briarlead_routes/directory_source.h"

#include <utility>

namespace briarlead {

bool DirectorySource::WantsRequest(TimePoint now) const {
  if (!HasFailed(now) || now - first_request_ < kFirstProbeTime ||
      (has_answered() && now - last_answer_ < kAnsweredLife)) {
    return true;
  }
  return now - last_request_ >= kProbeInterval;
}

bool DirectorySource::WantsHeartbeat(TimePoint now) const {
  return !has_answered() || now - last_answer_ >= kAnswerTimeout;
}

bool DirectorySource::HasFailed(TimePoint now) const {
  return unanswered_since_ != TimePoint::max() &&
         now - unanswered_since_ >= kAnswerTimeout;
}

void DirectorySource::OnRequestSent(TimePoint now) {
  if (first_request_ == TimePoint())
    first_request_ = now;
  if (unanswered_since_ == TimePoint::max())
    unanswered_since_ = now;
  last_request_ = now;
}

void DirectorySource::OnProcess(std::uint64_t incarnation) {
  if (std::exchange(process_, incarnation) == incarnation)
    return;
  first_request_ = TimePoint();
  unanswered_since_ = TimePoint::max();
}

void DirectorySource::OnAnswer(const DirectoryUpdate& update, TimePoint now) {
  if (HasFailed(now) || !has_answered())
    answers_since_ = now;
  if (std::exchange(incarnation_, update.incarnation) != update.incarnation)
    revision_ = 0;
  unanswered_since_ = TimePoint::max();
  last_answer_ = now;
}

void DirectorySource::OnConfirmed(std::uint64_t revision, TimePoint now) {
  revision_ = revision;
  last_confirmed_ = now;
}

}  // namespace briarlead
