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
#include "briarlead_forward/request_names.h"
#include "briarlead_routes/crash_report.h"
#include "briarlead_routes/routing_message.h"
#include "briarlead_routes/server_directory.h"

namespace briarlead {

/// What was learnt about a suspect, for logs.
struct SuspectEvent {
  enum class Kind {
    kCrash,    ///< A server ended under it.
    kBlocked,  ///< Enough have: requests with it are refused.
    kCleared,  ///< A server ran it after all.
  };

  Kind kind = Kind::kCrash;
  SuspectId suspect;
  std::size_t crashes = 0;  ///< In a row.
};

/// Finds what ends the backend servers that begin to run it, and keeps requests
/// with it away from the servers: parts that prompts share, and the content of
/// requests, that of one caller and that of any. All hosts exchange what they
/// see, so that one finding holds for all.
///
/// A run that breaks off before it counts as survived speaks against each of
/// its suspects, once its server is found to have ended. A server's other runs
/// break off too, but what they have in common survives elsewhere: one survival
/// takes back all that speaks against a suspect, and one that survived lately
/// is never blocked. So neither an outage nor what ran beside a bad request is
/// blocked for long. The content alone, without its caller, is blocked only if
/// servers ended under it for several callers.
///
/// A blocked suspect is tried again by a single request of one host, after a
/// time that grows with each server that ended under it.
class CrashSuspects {
 public:
  /// Crashes in a row under a suspect before it is blocked.
  static constexpr std::size_t kCrashesToBlock = 3;
  /// A stream that goes on for this long after its first event has survived.
  static constexpr Duration kSurvivalTime = std::chrono::milliseconds(1000);
  /// A suspect that survived within this time is not blocked.
  static constexpr Duration kSurvivalMemory = std::chrono::seconds(30);
  /// Time from the latest crash to the first trial of a blocked part of
  /// prompts.
  static constexpr Duration kFirstTrialDelay = std::chrono::seconds(10);
  /// The same for the content of a request, which fewer callers wait for.
  static constexpr Duration kFirstRequestTrialDelay = std::chrono::seconds(30);
  /// Factor by which the time to a trial grows with each further crash.
  static constexpr int kTrialDelayFactor = 4;
  /// Time after the latest crash after which a suspect is forgotten.
  static constexpr Duration kCrashMemory = std::chrono::minutes(30);
  /// A crash so soon after a survival doesn't count: what other hosts report is
  /// late by its time on the way, and more so when it is passed on.
  static constexpr Duration kTimeSlack = std::chrono::milliseconds(500);
  /// Time within which the check of a server must confirm that it ended.
  static constexpr Duration kConfirmationTime = std::chrono::seconds(2);
  /// Time within which another server at its address confirms it.
  static constexpr Duration kReplacementTime = std::chrono::seconds(5);
  /// Maximum number of suspects and survivals that are remembered.
  static constexpr std::size_t kMaxSuspects = 256;
  static constexpr std::size_t kMaxSurvivors = 2048;
  static constexpr std::size_t kMaxUnconfirmed = 256;
  /// Maximum number of crashes that are remembered for one suspect.
  static constexpr std::size_t kMaxCrashesOfSuspect = 6;

  /// `self` is the address of this host.
  explicit CrashSuspects(std::string self) : self_(std::move(self)) {}

  /// Sets the entry hosts; one of them tries each blocked suspect.
  void SetHosts(std::span<const EntryHost> hosts);

  /// Whether a request may be sent to a server.
  struct Admission {
    bool admitted = true;
    /// The request tries a blocked suspect and must be sent only once.
    bool is_trial = false;
    Duration retry_after = Duration::zero();  ///< Set if not admitted.
  };
  /// Decides about a new request with these suspects. At most one trial is
  /// admitted at a time.
  Admission Admit(std::span<const SuspectId> suspects, TimePoint now);
  /// Returns whether any of the suspects is blocked.
  [[nodiscard]] bool IsBlocked(std::span<const SuspectId> suspects,
                               TimePoint now) const;
  /// Returns whether a server ended under this suspect and none ran it since.
  [[nodiscard]] bool HasCrashed(SuspectId suspect, TimePoint now) const;

  /// Returns whether the content of any request is a suspect.
  [[nodiscard]] bool KnowsRequests() const;
  /// Returns whether a request with the same head is a suspect; `head` is one
  /// of its HeadNamesOf().
  [[nodiscard]] bool KnowsHead(SuspectId head) const;

  /// A run of a request with these parts and names broke off before it had
  /// survived. It counts once the server is found to have ended.
  void OnBroken(std::span<const SuspectId> parts,
                const std::optional<RequestNames>& names,
                const ServerIncarnation& server,
                TimePoint now);
  /// A check found the server up or down.
  void OnServerChecked(const ServerIncarnation& server, bool up, TimePoint now);
  /// The directory has changed: a server that started at the address of one
  /// whose runs broke off shows that this one has ended.
  void OnDirectoryChanged(const ServerDirectory& directory, TimePoint now);
  /// A run was answered in full, or for kSurvivalTime.
  void OnSurvived(std::span<const SuspectId> suspects, TimePoint now);

  /// Returns what other hosts need to know; empty while no server ended.
  [[nodiscard]] CrashReport Report(TimePoint now) const;
  /// Takes over what another host knows.
  void OnReport(const CrashReport& report, TimePoint now);
  /// Increases with what this host saw itself and others need to know at once.
  /// What they reported is passed on with the next regular report; if it were
  /// sent at once, hosts would answer each other for ever.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  /// Increases when a suspect is blocked or cleared.
  [[nodiscard]] std::uint64_t verdict_revision() const {
    return verdict_revision_;
  }

  /// Forgets what has expired.
  void Expire(TimePoint now);
  [[nodiscard]] std::size_t suspect_count() const { return suspects_.size(); }
  [[nodiscard]] std::size_t BlockedCount(TimePoint now) const;
  /// Removes and returns the events to log.
  std::vector<SuspectEvent> TakeEvents();

 private:
  struct Suspect {
    /// When each crash was, by its witness.
    std::map<std::uint64_t, TimePoint> crashes;
    TimePoint last_crash;
    std::optional<TimePoint> last_trial;
  };
  /// What a broken run speaks against.
  struct Accusation {
    SuspectId suspect;
    std::uint64_t witness = 0;

    friend bool operator==(const Accusation&, const Accusation&) = default;
  };
  /// Runs of one server that broke off and are not confirmed yet.
  struct Unconfirmed {
    ServerIncarnation server;
    TimePoint at;
    /// A check found a server at its address: this one, or the next.
    bool found_up = false;
    std::vector<Accusation> accusations;
  };

  /// Counts the runs that broke off with a server that has ended.
  [[nodiscard]] Unconfirmed& UnconfirmedOf(const ServerIncarnation& server);
  void Confirm(const Unconfirmed& run, TimePoint now);
  void AddCrash(const Accusation& accusation, TimePoint at, TimePoint now);
  /// Returns whether the survival answers a crash.
  bool AddSurvival(SuspectId suspect, TimePoint at);
  [[nodiscard]] bool IsSuspectBlocked(SuspectId id, TimePoint now) const;
  [[nodiscard]] bool SurvivedLately(SuspectId id, TimePoint now) const;
  /// Returns when the blocked suspect is due for a trial.
  [[nodiscard]] static TimePoint TrialDue(SuspectId id, const Suspect& suspect);
  /// Returns whether this host is the one that tries `suspect`.
  [[nodiscard]] bool Tries(SuspectId suspect) const;
  void Record(SuspectEvent::Kind kind, SuspectId suspect, std::size_t crashes);

  std::string self_;
  std::vector<EntryHost> hosts_;
  std::map<SuspectId, Suspect> suspects_;
  /// When each suspect last survived.
  std::map<SuspectId, TimePoint> survivors_;
  std::vector<Unconfirmed> unconfirmed_;
  std::vector<SuspectEvent> events_;
  std::uint64_t revision_ = 0;
  std::uint64_t verdict_revision_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_CRASH_SUSPECTS_H_
