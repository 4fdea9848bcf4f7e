#ifndef BRIARLEAD_ACCOUNTS_KEY_LEASE_H_
#define BRIARLEAD_ACCOUNTS_KEY_LEASE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// The right of an entry host to use the keys of its list of routes: how it is
/// renewed, and when it ends. The leader of the control group renews it by
/// answering questions; the lease then lasts from the time at which the
/// question was sent. A list without a key is acknowledged only after the
/// answer was made, so the lease ends at most its duration later.
///
/// The same answers tell whether the host may say that there is no such route
/// or key: only the leader knows that no newer list has one.
class KeyLease {
 public:
  /// Interval of the questions while keys need the lease.
  static constexpr Duration kInterval = std::chrono::milliseconds(400);
  /// The same while the list only has to be known as the newest.
  static constexpr Duration kListInterval = std::chrono::milliseconds(800);
  /// Time without an answer after which all control hosts are asked: several
  /// round trips between data centres.
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(150);
  /// Age of a confirmation up to which the list counts as the newest. It spans
  /// a lost answer; a list must be in force everywhere within two seconds.
  static constexpr Duration kRecentAge = std::chrono::milliseconds(1500);

  /// A question and the control hosts to send it to.
  struct Question {
    std::uint64_t number = 0;
    std::uint64_t routes_version = 0;
    std::vector<Endpoint> receivers;
  };

  /// `first_number` must differ after each restart of the host, so that an
  /// answer to a question from before is not taken for one to a later question.
  KeyLease(Duration duration, std::uint64_t first_number)
      : duration_(duration), last_number_(first_number) {}

  /// Returns the question that is due at `now`, to the control host that
  /// answered last or to all `control_hosts`; nullopt while none is due.
  /// `routes_version` is that of this host's list. `now` must have been read
  /// before the question is sent; the next one is due `interval` later.
  std::optional<Question> Ask(std::uint64_t routes_version,
                              std::span<const Endpoint> control_hosts,
                              TimePoint now,
                              Duration interval = kInterval);

  /// Makes the next question due at once: the list has changed.
  void AskSoon() { next_question_ = TimePoint::min(); }

  /// Handles the answer of `leader` to the question `number`, with the version
  /// of the list in force; `own_version` is that of this host's list. Returns
  /// whether the answer confirmed that list.
  bool OnAnswer(const Endpoint& leader,
                std::uint64_t number,
                std::uint64_t version,
                std::uint64_t own_version);

  /// Returns whether keys may be used at `now`.
  [[nodiscard]] bool IsHeld(TimePoint now) const;

  /// Returns the time since the list was last known to be in force; nullopt if
  /// it never was.
  [[nodiscard]] std::optional<Duration> Age(TimePoint now) const;

  /// Returns whether the list was in force a short time before `now`.
  [[nodiscard]] bool IsRecent(TimePoint now) const;

  /// Returns the newest version that a leader has told.
  [[nodiscard]] std::uint64_t newest_version() const { return newest_version_; }

 private:
  Duration duration_;
  std::uint64_t last_number_;
  /// When the questions that may still be answered were sent.
  std::map<std::uint64_t, TimePoint> sent_at_;
  std::optional<Endpoint> leader_;
  /// When the last question was sent, while it has no answer.
  std::optional<TimePoint> unanswered_since_;
  bool asked_all_ = false;
  TimePoint next_question_ = TimePoint::min();
  std::optional<TimePoint> confirmed_at_;
  std::uint64_t newest_version_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ACCOUNTS_KEY_LEASE_H_
