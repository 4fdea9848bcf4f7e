#ifndef BRIARLEAD_FORWARD_CRASH_SUSPECTS_H_
#define BRIARLEAD_FORWARD_CRASH_SUSPECTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "briarlead_core/time.h"
#include "briarlead_routes/crash_report.h"
#include "briarlead_routes/routing_message.h"
#include "briarlead_routes/server_record.h"

namespace briarlead {

/// What was learnt about a part of prompts, for logs.
struct SuspectEvent {
  enum class Kind {
    kCrash,    ///< An engine ended under it.
    kBlocked,  ///< Enough have: requests with it are refused.
    kCleared,  ///< An engine answered it after all.
  };

  Kind kind = Kind::kCrash;
  SuspectId part;
  std::size_t engines = 0;  ///< Engines that ended under it in a row.
};

/// Finds the parts of prompts that end the engines which begin to answer them,
/// and keeps requests with such a part away from the engines. All hosts
/// exchange what they see, so that one finding holds for all.
///
/// A run that breaks off before it counts as survived speaks against each part
/// that its prompt shares with others, once a check finds its engine down. An
/// engine's other streams break off too, but they have survived for longer, or
/// their parts survive elsewhere: one survival takes back all that speaks
/// against a part, and a part that survived lately is never blocked. So neither
/// an outage nor the parts beside a bad one are blocked for long.
///
/// A blocked part is tried again by a single request of one host, after a time
/// that grows with each engine that ended under it.
class CrashSuspects {
 public:
  /// Engines that end in a row under a part before it is blocked.
  static constexpr std::size_t kCrashesToBlock = 3;
  /// A stream that goes on for this long after its first event has survived.
  static constexpr Duration kSurvivalTime = std::chrono::milliseconds(1000);
  /// A part that survived within this time is not blocked.
  static constexpr Duration kSurvivalMemory = std::chrono::seconds(30);
  /// Time from the latest crash to the first trial of a blocked part, and the
  /// factor by which it grows with each further engine.
  static constexpr Duration kFirstTrialDelay = std::chrono::seconds(10);
  static constexpr int kTrialDelayFactor = 4;
  /// Time after the latest crash after which a part is forgotten.
  static constexpr Duration kCrashMemory = std::chrono::minutes(30);
  /// A crash so soon after a survival doesn't count: what other hosts report is
  /// late by its time on the way, and more so when it is passed on.
  static constexpr Duration kTimeSlack = std::chrono::milliseconds(500);
  /// Time within which the check of an engine must confirm that it ended.
  static constexpr Duration kConfirmationTime = std::chrono::seconds(2);
  /// Maximum number of parts and survivals that are remembered.
  static constexpr std::size_t kMaxSuspects = 256;
  static constexpr std::size_t kMaxSurvivors = 2048;
  /// Maximum number of engines that are remembered for one part.
  static constexpr std::size_t kMaxCrashesOfPart = 6;

  /// `self` is the address of this host.
  explicit CrashSuspects(std::string self) : self_(std::move(self)) {}

  /// Sets the entry hosts; one of them tries each blocked part.
  void SetHosts(std::span<const EntryHost> hosts);

  /// Whether a request may be sent to an engine.
  struct Admission {
    bool admitted = true;
    /// The request tries a blocked part and must be sent only once.
    bool is_trial = false;
    Duration retry_after = Duration::zero();  ///< Set if not admitted.
  };
  /// Decides about a new request with these shared parts. At most one trial is
  /// admitted at a time.
  Admission Admit(std::span<const SuspectId> parts, TimePoint now);
  /// Returns whether any of the parts is blocked.
  [[nodiscard]] bool IsBlocked(std::span<const SuspectId> parts,
                               TimePoint now) const;

  /// A run broke off before it had survived. It counts once the engine is found
  /// down.
  void OnBroken(std::span<const SuspectId> parts,
                const ServerIncarnation& engine,
                TimePoint now);
  /// A check found the engine up or down.
  void OnEngineChecked(const ServerIncarnation& engine, bool up, TimePoint now);
  /// A run was answered in full, or for kSurvivalTime.
  void OnSurvived(std::span<const SuspectId> parts, TimePoint now);

  /// Returns what other hosts need to know; empty while no engine ended.
  [[nodiscard]] CrashReport Report(TimePoint now) const;
  /// Takes over what another host knows.
  void OnReport(const CrashReport& report, TimePoint now);
  /// Increases with what this host saw itself and others need to know at once.
  /// What they reported is passed on with the next regular report; if it were
  /// sent at once, hosts would answer each other for ever.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

  /// Forgets what has expired.
  void Expire(TimePoint now);
  [[nodiscard]] std::size_t part_count() const { return parts_.size(); }
  [[nodiscard]] std::size_t BlockedCount(TimePoint now) const;
  /// Removes and returns the events to log.
  std::vector<SuspectEvent> TakeEvents();

 private:
  struct Part {
    /// When each engine ended, by the hash of its incarnation.
    std::map<std::uint64_t, TimePoint> crashes;
    TimePoint last_crash;
    std::optional<TimePoint> last_trial;
  };
  /// Runs of one engine that broke off and are not confirmed yet.
  struct Unconfirmed {
    TimePoint at;
    std::vector<SuspectId> parts;
  };

  void AddCrash(SuspectId part,
                std::uint64_t engine,
                TimePoint at,
                TimePoint now);
  /// Returns whether the survival answers a crash.
  bool AddSurvival(SuspectId part, TimePoint at);
  [[nodiscard]] bool IsPartBlocked(SuspectId part, TimePoint now) const;
  [[nodiscard]] bool SurvivedLately(SuspectId part, TimePoint now) const;
  /// Returns when the blocked part is due for a trial.
  [[nodiscard]] static TimePoint TrialDue(const Part& part);
  /// Returns whether this host is the one that tries `part`.
  [[nodiscard]] bool Tries(SuspectId part) const;

  std::string self_;
  std::vector<EntryHost> hosts_;
  std::map<SuspectId, Part> parts_;
  /// When each part last survived.
  std::map<SuspectId, TimePoint> survivors_;
  std::map<ServerIncarnation, Unconfirmed> unconfirmed_;
  std::vector<SuspectEvent> events_;
  std::uint64_t revision_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_CRASH_SUSPECTS_H_
