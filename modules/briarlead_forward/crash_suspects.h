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
/// requests under each of its names. All hosts exchange what they
/// see, so that one finding holds for all.
///
/// A run that breaks off before it counts as survived speaks against each of
/// its suspects, once its server is found to have ended. A server's other runs
/// break off too, but what they have in common survives elsewhere: one survival
/// takes back all that speaks against a suspect, and one that survived lately
/// is never blocked. So neither an outage nor what ran beside a bad request is
/// blocked for long.
///
/// A blocked suspect is tried again by a single request of one host, after a
/// time that grows with each server that ended under it.
class CrashSuspects {
 public:
  /// Crashes in a row under a suspect before it is blocked.
  static constexpr std::size_t kCrashesToBlock = 3;
  /// A stream that goes on for this long after its first event has survived.
  static constexpr Duration kSurvivalTime = std::chrono::milliseconds(1000);
  /// A part of prompts that survived within this time is not blocked.
  static constexpr Duration kSurvivalMemory = std::chrono::seconds(30);
  /// The same for the content of a request. Short, since another's sound
  /// request may have one of the names of a bad one.
  static constexpr Duration kRequestSurvivalMemory = std::chrono::seconds(3);
  /// Time from the latest crash to the first trial of a blocked part of
  /// prompts.
  static constexpr Duration kFirstTrialDelay = std::chrono::seconds(10);
  /// The same for the content of a request, if servers ended under the caller
  /// that sends it.
  static constexpr Duration kFirstRequestTrialDelay = std::chrono::seconds(30);
  /// The same if none did: another caller's sound request may have the same
  /// name, and shows so by one answer.
  static constexpr Duration kOtherCallerTrialDelay = std::chrono::seconds(2);
  /// Factor by which the time to a trial grows with each further crash, of
  /// parts of prompts and of the content of requests.
  static constexpr int kTrialDelayFactor = 4;
  static constexpr int kRequestTrialDelayFactor = 15;
  /// Time after the latest crash after which a suspect is forgotten.
  static constexpr Duration kCrashMemory = std::chrono::minutes(30);
  /// A crash so soon after a survival doesn't count: what other hosts report is
  /// late by its time on the way, and more so when it is passed on.
  static constexpr Duration kTimeSlack = std::chrono::milliseconds(500);
  /// The same for the content of a request, of which survivals are told for a
  /// shorter time.
  static constexpr Duration kRequestTimeSlack = std::chrono::milliseconds(100);
  /// Time for which runs that began before a suspect was blocked still end.
  static constexpr Duration kBlockingTime = std::chrono::seconds(1);
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
  /// Decides about a new request with these parts and, if it may be a suspect,
  /// these names. At most one trial is admitted at a time.
  Admission Admit(std::span<const SuspectId> parts,
                  const std::optional<RequestNames>& names,
                  TimePoint now);
  /// Returns whether requests with these parts and names are blocked.
  [[nodiscard]] bool IsBlocked(std::span<const SuspectId> parts,
                               const std::optional<RequestNames>& names,
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
    /// When each server ended, by the hash of its incarnation.
    std::map<std::uint64_t, TimePoint> crashes;
    TimePoint last_crash;
    std::optional<TimePoint> last_trial;
    /// When it was last blocked; kept when it is cleared.
    std::optional<TimePoint> blocked_at;
  };
  /// Runs of one server that broke off and are not confirmed yet.
  struct Unconfirmed {
    ServerIncarnation server;
    TimePoint at;
    /// A check found a server at its address: this one, or the next.
    bool found_up = false;
    std::vector<SuspectId> accused;
  };

  /// Returns the entry of `server` to which broken runs are added.
  [[nodiscard]] Unconfirmed& UnconfirmedOf(const ServerIncarnation& server);
  /// Counts the runs that broke off with a server that has ended.
  void Confirm(const Unconfirmed& run, TimePoint now);
  void AddCrash(SuspectId id,
                std::uint64_t server,
                TimePoint at,
                TimePoint now);
  /// Returns whether the survival answers a crash.
  bool AddSurvival(SuspectId suspect, TimePoint at);
  /// Returns those of the parts and names that are blocked.
  [[nodiscard]] std::vector<SuspectId> Blocked(
      std::span<const SuspectId> parts,
      const std::optional<RequestNames>& names,
      TimePoint now) const;
  [[nodiscard]] bool IsSuspectBlocked(SuspectId id, TimePoint now) const;
  /// Returns whether a server ended under this caller after the content had
  /// been blocked: then the content was cleared by another's sound request, and
  /// one crash is enough to know the caller of the bad one.
  [[nodiscard]] bool IsRepeatedByCaller(const RequestNames& names,
                                        TimePoint now) const;
  [[nodiscard]] bool SurvivedLately(SuspectId id, TimePoint now) const;
  /// Returns whether the suspect isn't blocked whatever ended under it, since
  /// it survived lately. A request's content that was blocked before has no
  /// such grace: another's sound request with that name has survived.
  [[nodiscard]] bool HasGrace(SuspectId id,
                              const Suspect& suspect,
                              TimePoint now) const;
  /// Returns when the blocked suspect is due for a trial, if the first one
  /// comes `first_delay` after the latest crash.
  [[nodiscard]] static TimePoint TrialDue(SuspectId id,
                                          const Suspect& suspect,
                                          Duration first_delay);
  /// Returns how many servers ended under the suspect since it was blocked. For
  /// the content of a request, those of runs that began before don't count.
  [[nodiscard]] static std::size_t CrashesSinceBlock(SuspectId id,
                                                     const Suspect& suspect);
  /// Returns how many crashes in a row block the suspect: one, if it is the
  /// content of a request that was blocked before.
  [[nodiscard]] static std::size_t CrashesToBlock(SuspectId id,
                                                  const Suspect& suspect);
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
