#ifndef BRIARLEAD_FORWARD_SERVER_POOL_H_
#define BRIARLEAD_FORWARD_SERVER_POOL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "briarlead_core/random_source.h"
#include "briarlead_core/time.h"
#include "briarlead_forward/server_health.h"
#include "briarlead_routes/server_directory.h"

namespace briarlead {

/// What is asked of a backend server.
struct ServerQuery {
  ServiceId service;
  /// Stage that the server must have; kNone for plain services.
  EngineStage stage = EngineStage::kNone;
  /// Starts that are not to be chosen.
  std::span<const ServerStart> excluded;
};

/// Chooses backend servers: those that announce themselves as ready, that this
/// host's traffic shows to be well, and that have least work from here; of its
/// own data centre first. Servers that fail are still chosen when no other is
/// left, so that a pool is never emptied by suspicion.
class ServerPool {
 public:
  /// Load, in requests a slot, that another data centre must be better by.
  static constexpr double kRemotePenalty = 0.02;
  /// Time for which a server is passed over that another host found down.
  static constexpr Duration kDoubtTime = std::chrono::milliseconds(200);
  /// A server that wasn't heard of for this long is a last resort.
  static constexpr Duration kSilenceLimit = std::chrono::milliseconds(4500);

  /// `directory` must outlive the pool.
  ServerPool(const ServerDirectory& directory, DataCentreId own)
      : directory_(directory), own_(std::move(own)) {}

  /// Returns the best server for `query`, if there is any.
  std::optional<ServerRecord> Choose(const ServerQuery& query,
                                     TimePoint now,
                                     RandomSource& random) const;

  /// Returns the servers for `query` that are well; where there are none, those
  /// that are suspected. Servers that are down are not among them.
  [[nodiscard]] std::vector<ServerRecord> Usable(const ServerQuery& query,
                                                 TimePoint now) const;

  /// Notes that a request was sent.
  void OnSent(const ServerStart& server);

  /// Notes how a send came out; returns whether that ejected the server.
  bool OnOutcome(const ServerStart& server,
                 AttemptOutcome outcome,
                 TimePoint now);

  /// Notes that a server takes no connection; returns whether that is new.
  bool OnDown(const ServerStart& server, TimePoint now);

  /// Notes that a server takes connections.
  void OnUp(const ServerStart& server, TimePoint now);

  /// Notes that another host found a server down: it is passed over for the
  /// time in which this host checks that. Returns the server if it is to be
  /// checked.
  std::optional<ServerRecord> OnReportedDown(const ServerStart& server,
                                             TimePoint now);

  /// Returns the servers that take no connection from this host. They get
  /// nothing, but plain requests that have no other server left, until they
  /// take one again.
  [[nodiscard]] std::vector<ServerRecord> Down() const;
  /// Grows with each change of Down().
  [[nodiscard]] std::uint64_t down_revision() const { return down_revision_; }

  /// Returns whether this host seems to be cut off: there are servers in other
  /// data centres, and all of them are down from here.
  [[nodiscard]] bool SeemsCutOff() const;

  /// Returns the servers that may be out of reach if `down` is: those of its
  /// data centre, where that is not this host's own.
  [[nodiscard]] std::vector<ServerRecord> NeighboursOf(
      const ServerRecord& down) const;

  /// Forgets servers that the directory doesn't know any more.
  void Forget();

 private:
  /// How sure it is that a server will serve; lower is better.
  enum class Trust { kWell, kSilent, kFull, kEjected };

  struct State {
    ServerHealth health;
    std::uint32_t in_flight = 0;
    bool wrong_server = false;
    bool down = false;
    TimePoint doubted_until;  ///< Another host found it down.
  };

  void SetDown(State& state, bool down);
  [[nodiscard]] bool IsDown(const ServerRecord& record) const;

  [[nodiscard]] bool Fits(const ServerRecord& record,
                          const ServerQuery& query) const;
  [[nodiscard]] Trust TrustOf(const ServerDirectory::Entry& entry,
                              TimePoint now) const;
  /// How much less a server is wanted; lower is better.
  [[nodiscard]] std::pair<Trust, double> CostOf(
      const ServerDirectory::Entry& entry,
      TimePoint now,
      RandomSource& random) const;

  const ServerDirectory& directory_;
  DataCentreId own_;
  std::map<ServerStart, State> states_;
  std::uint64_t down_revision_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_SERVER_POOL_H_
