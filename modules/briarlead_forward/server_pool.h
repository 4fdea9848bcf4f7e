#ifndef BRIARLEAD_FORWARD_SERVER_POOL_H_
#define BRIARLEAD_FORWARD_SERVER_POOL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

#include "briarlead_core/random_source.h"
#include "briarlead_core/time.h"
#include "briarlead_forward/relay_hosts.h"
#include "briarlead_forward/send_permits.h"
#include "briarlead_forward/server_health.h"
#include "briarlead_routes/server_directory.h"

namespace briarlead {

/// Selects the backend servers that may get a request.
struct ServerQuery {
  ServiceId service;
  /// Stage that the server must have; kNone for plain services.
  EngineStage stage = EngineStage::kNone;
  /// Incarnations that must not be chosen.
  std::span<const ServerIncarnation> excluded;
  /// Version that the server must have, for a stream that has begun; nullopt if
  /// any will do.
  std::optional<SoftwareVersion> software;
};

/// How a request gets to a server.
enum class SendPath {
  kDirect,
  kRelayed,  ///< Another entry host passes it on.
};

/// Chooses among the backend servers that announce themselves as ready: healthy
/// ones by this host's own traffic first, then those with the fewest requests
/// of this host per slot, with a preference for the local data centre. Failing
/// servers are still chosen when no other is left, so that suspicion alone
/// never empties the pool.
///
/// A server that is down from this host may be reached through another one. A
/// host that finds servers down and hears from none is cut off: it believes
/// nothing that it finds out about single servers.
class ServerPool {
 public:
  /// Load, in requests per slot, by which a server of another data centre must
  /// be better than a local one.
  static constexpr double kRemotePenalty = 0.02;
  /// Load, in requests per slot, up to which a server is preferred for which
  /// this host holds a permit, which would lapse.
  static constexpr double kPermitBonus = 0.1;
  /// Time for which a server is avoided that another host reported as down.
  static constexpr Duration kSuspicionTime = std::chrono::milliseconds(200);
  /// A server without an announcement for this long is suspect.
  static constexpr Duration kSilenceLimit = std::chrono::milliseconds(4500);

  /// Longest pause that is granted to a server.
  static constexpr Duration kMaxPause = std::chrono::minutes(5);

  /// Servers found down in a row, with no word from any server, from which on
  /// this host counts as cut off.
  static constexpr std::size_t kDownToBeCutOff = 2;
  /// Servers that are checked at once when one is found down, to tell whether
  /// this host is cut off.
  static constexpr std::size_t kMaxWitnesses = 4;

  /// `directory`, `permits` and `relays` must outlive the pool.
  ServerPool(const ServerDirectory& directory,
             SendPermits& permits,
             const RelayHosts& relays,
             DataCentreId local_data_centre)
      : directory_(directory),
        permits_(permits),
        relays_(relays),
        local_data_centre_(std::move(local_data_centre)) {}

  /// Returns the best server for `query`; nullopt if none matches.
  std::optional<ServerRecord> Choose(const ServerQuery& query,
                                     TimePoint now,
                                     RandomSource& random) const;

  /// Returns all servers for `query` of the best tier that has any. Servers
  /// that are out of reach are never included.
  [[nodiscard]] std::vector<ServerRecord> Usable(const ServerQuery& query,
                                                 TimePoint now) const;

  /// Returns whether the server named a limit.
  [[nodiscard]] bool NeedsPermit(const ServerIncarnation& server) const {
    return permits_.IsNeeded(server);
  }
  /// Takes the permit for a request that is sent to `server`, if that server
  /// named a limit.
  void UsePermit(const ServerIncarnation& server, TimePoint now) {
    permits_.Use(server, now);
  }
  /// Takes the first permit for a server of `query` that starts by `latest`.
  std::optional<SendPermit> ClaimPermit(const ServerQuery& query,
                                        TimePoint latest,
                                        TimePoint now);
  /// Gives back a permit that was claimed and not used.
  void ReturnPermit(const SendPermit& permit) { permits_.Return(permit); }
  /// Asks for a permit for the server of `query` that may have one first;
  /// returns when that may be, nullopt if no server of `query` needs a permit.
  std::optional<TimePoint> WantPermit(const ServerQuery& query,
                                      Duration within,
                                      TimePoint now);
  /// Returns whether a server of `query` only lacks a permit.
  [[nodiscard]] bool LacksPermit(const ServerQuery& query, TimePoint now) const;
  /// Returns whether the server still takes requests: it is ready and has not
  /// said otherwise in an answer.
  [[nodiscard]] bool Accepts(const ServerRecord& server, TimePoint now) const;
  /// Returns the server of a claimed permit; nullopt if nothing must be sent to
  /// it any more.
  [[nodiscard]] std::optional<ServerRecord> ServerOf(const SendPermit& permit,
                                                     TimePoint now) const;

  /// Returns whether a server of `query` announces itself as ready, reachable
  /// or not.
  [[nodiscard]] bool HasReady(const ServerQuery& query) const;

  /// Records that a request was sent.
  void OnSent(const ServerIncarnation& server);

  /// Records the outcome of a send; returns whether it ejected the server.
  bool OnOutcome(const ServerIncarnation& server,
                 AttemptOutcome outcome,
                 SendPath path,
                 TimePoint now);

  /// A server accepted a connection from this host or sent it something.
  void OnContact(TimePoint now);
  /// Returns whether a server did so since `since`.
  [[nodiscard]] bool HadContactSince(TimePoint since) const {
    return last_contact_ >= since;
  }
  /// Returns whether this host seems to be cut off from all servers.
  [[nodiscard]] bool IsCutOff() const {
    return down_since_contact_.size() >= kDownToBeCutOff;
  }
  /// Returns whether a request to `server` must be passed on by another host.
  [[nodiscard]] bool NeedsRelay(const ServerIncarnation& server) const;
  /// Returns whether `server` accepts no connection from this host.
  [[nodiscard]] bool IsDown(const ServerIncarnation& server) const;

  /// Records that a server accepts no connection; returns whether that is new.
  bool OnDown(const ServerIncarnation& server, TimePoint now);

  /// Records that a check of a server failed; `refused` if nothing listens at
  /// its address.
  void OnCheckFailed(const ServerIncarnation& server,
                     bool refused,
                     TimePoint now);
  /// Returns whether it is known that `server`, last heard at `last_heard`, has
  /// ended: since then, a connection was refused, two checks failed, or one
  /// check failed while another host reports the server down. Never on a host
  /// that is cut off.
  [[nodiscard]] bool IsKnownDown(const ServerIncarnation& server,
                                 TimePoint last_heard,
                                 TimePoint now) const;

  /// Records that a server accepts connections.
  void OnUp(const ServerIncarnation& server, TimePoint now);

  /// Records that a server said in an answer that it leaves: it gets nothing
  /// more, whatever its announcements say.
  void OnLeaving(const ServerIncarnation& server);
  /// Records that another host was told so.
  void OnToldLeaving(const ServerIncarnation& server);
  /// Returns the ready servers that told this host that they leave.
  [[nodiscard]] std::vector<ServerIncarnation> LeavingByAnswers() const;
  /// Increases whenever a server tells this host that it leaves.
  [[nodiscard]] std::uint64_t leaving_revision() const {
    return leaving_revision_;
  }

  /// Records that a server that refused a request wants nothing from this host
  /// for `pause`.
  void OnPauseWanted(const ServerIncarnation& server,
                     Duration pause,
                     TimePoint now);

  /// Returns when the first server of `service` that wants nothing for some
  /// time takes requests again; nullopt if there is none.
  [[nodiscard]] std::optional<TimePoint> PauseEnd(const ServiceId& service,
                                                  TimePoint now) const;

  /// Returns whether the server wants nothing from this host now.
  [[nodiscard]] bool IsBarred(const ServerIncarnation& server,
                              TimePoint now) const;
  /// Returns the servers that want nothing from this host now.
  [[nodiscard]] std::vector<ServerIncarnation> Barred(TimePoint now) const;

  /// Records that another host reported a server as down: this host avoids the
  /// server for kSuspicionTime, while it checks for itself. Returns the server
  /// if it must be checked.
  std::optional<ServerRecord> OnReportedDown(const ServerIncarnation& server,
                                             TimePoint now);

  /// Returns the ready servers that accept no connection from this host. Until
  /// they accept one, they get only plain requests that have no other server
  /// left.
  [[nodiscard]] std::vector<ServerRecord> Down() const;
  /// Increases whenever a server goes down or comes up.
  [[nodiscard]] std::uint64_t down_revision() const { return down_revision_; }

  /// Returns whether this host seems to be isolated by a network partition:
  /// other data centres have ready servers, but all are down from here.
  [[nodiscard]] bool SeemsIsolated() const;

  /// Returns the other ready servers of the data centre of `down`, which may be
  /// unreachable too; none if it is this host's own data centre.
  [[nodiscard]] std::vector<ServerRecord> OthersInDataCentreOf(
      const ServerRecord& down) const;

  /// Returns some ready servers that aren't down from here, to check next after
  /// `down`; none if this host has heard from one since that was found down.
  [[nodiscard]] std::vector<ServerRecord> Witnesses(
      const ServerRecord& down) const;

  /// Drops the state of servers that the directory no longer has.
  void RemoveUnknown();

 private:
  /// How likely a server is to serve a request; lower is better.
  enum class Tier { kHealthy, kSuspect, kRelayed, kFull, kEjected };

  struct State {
    ServerHealth health;
    ServerHealth relayed_health;  ///< As seen through other hosts.
    std::uint32_t in_flight = 0;
    bool wrong_server = false;
    bool leaving = false;
    bool told_leaving_here = false;
    TimePoint paused_until;  ///< As the server wanted.
    bool down = false;
    TimePoint suspected_until;  ///< After a report of another host.
    /// What says that it has ended since it last accepted a connection.
    std::optional<TimePoint> last_failed_check;
    std::optional<TimePoint> failed_check_before;
    std::optional<TimePoint> last_refusal;
    std::optional<TimePoint> last_report;
  };

  void SetDown(const ServerIncarnation& server, State& state, bool down);
  /// Returns whether the server is down from here and no other host is known to
  /// reach it.
  [[nodiscard]] bool IsOutOfReach(const ServerRecord& record,
                                  TimePoint now) const;

  /// Returns whether `query` selects the server, with a permit or without.
  [[nodiscard]] bool Matches(const ServerRecord& record,
                             const ServerQuery& query,
                             TimePoint now) const;
  /// Returns whether `query` selects the server and a request may be sent now.
  [[nodiscard]] bool IsSendable(const ServerRecord& record,
                                const ServerQuery& query,
                                TimePoint now) const {
    return Matches(record, query, now) &&
           permits_.MaySend(IncarnationOf(record), now);
  }
  /// Returns the servers of `query` that only lack a permit.
  [[nodiscard]] std::vector<ServerIncarnation> LackingPermit(
      const ServerQuery& query,
      TimePoint now) const;
  [[nodiscard]] Tier TierOf(const ServerDirectory::Entry& entry,
                            TimePoint now) const;
  /// Returns the sort key by which servers are chosen; lower is better.
  [[nodiscard]] std::pair<Tier, double> CostOf(
      const ServerDirectory::Entry& entry,
      TimePoint now,
      RandomSource& random) const;

  const ServerDirectory& directory_;
  SendPermits& permits_;
  const RelayHosts& relays_;
  DataCentreId local_data_centre_;
  std::map<ServerIncarnation, State> states_;
  TimePoint last_contact_;
  /// Servers found down since the last contact with any.
  std::set<ServerIncarnation> down_since_contact_;
  std::uint64_t down_revision_ = 0;
  std::uint64_t leaving_revision_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_SERVER_POOL_H_
