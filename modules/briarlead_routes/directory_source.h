#ifndef BRIARLEAD_ROUTES_DIRECTORY_SOURCE_H_
#define BRIARLEAD_ROUTES_DIRECTORY_SOURCE_H_

#include <chrono>
#include <cstdint>

#include "briarlead_core/time.h"
#include "briarlead_routes/routing_message.h"

namespace briarlead {

/// What a host knows of one control host as a source of the directory: whether
/// it answers DirectoryRequests, and up to which revision its directory is
/// known here.
class DirectorySource {
 public:
  /// Time without an answer to a request after which the source is unreachable
  /// or of an older build.
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(1300);
  /// Interval between requests to a source that doesn't answer them. A control
  /// host of an older build logs each of them.
  static constexpr Duration kProbeInterval = std::chrono::seconds(5);
  /// How long a source that has not answered yet gets a request with each
  /// heartbeat.
  static constexpr Duration kFirstProbeTime = std::chrono::seconds(2);

  /// Returns whether to send a DirectoryRequest with this heartbeat.
  [[nodiscard]] bool WantsRequest(TimePoint now) const;
  /// Returns whether to send a HostHeartbeat: the source didn't answer requests
  /// lately.
  [[nodiscard]] bool WantsHeartbeat(TimePoint now) const;
  /// Returns whether a request has been unanswered for too long.
  [[nodiscard]] bool HasFailed(TimePoint now) const;
  /// Returns since when the source has answered without a longer silence.
  [[nodiscard]] TimePoint answers_since() const { return answers_since_; }

  /// Time without an answer after which a source that has answered before may
  /// be of an older build now.
  static constexpr Duration kAnsweredLife = std::chrono::seconds(60);

  void OnRequestSent(TimePoint now);
  /// Records that process `incarnation` of the source sent any message: a new
  /// process may be of another build.
  void OnProcess(std::uint64_t incarnation);
  void OnAnswer(const DirectoryUpdate& update, TimePoint now);
  /// Records that the directory here contains all that the source had at
  /// `revision`.
  void OnConfirmed(std::uint64_t revision, TimePoint now);

  [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
  /// Zero if no revision is known.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  [[nodiscard]] bool has_answered() const { return incarnation_ != 0; }
  /// Returns when the directory here was last known to contain the source's.
  [[nodiscard]] TimePoint last_confirmed() const { return last_confirmed_; }

 private:
  std::uint64_t incarnation_ = 0;
  std::uint64_t revision_ = 0;
  std::uint64_t process_ = 0;  ///< The latest of which a message came.
  TimePoint first_request_;
  TimePoint last_request_;
  /// The first request since the last answer.
  TimePoint unanswered_since_ = TimePoint::max();
  TimePoint last_answer_;
  TimePoint answers_since_;
  TimePoint last_confirmed_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_DIRECTORY_SOURCE_H_
