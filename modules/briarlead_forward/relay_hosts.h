#ifndef BRIARLEAD_FORWARD_RELAY_HOSTS_H_
#define BRIARLEAD_FORWARD_RELAY_HOSTS_H_

#include <chrono>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "briarlead_core/random_source.h"
#include "briarlead_core/time.h"
#include "briarlead_placement/host_weights.h"
#include "briarlead_routes/routing_message.h"

namespace briarlead {

/// Why an entry host did not pass a request on. Nothing of it was sent.
enum class RelayRefusal {
  kUnreachable,  ///< The host itself accepts no connection.
  kStopping,
  kBusy,     ///< It passes on as many requests as it can.
  kCutOff,   ///< It reaches no server either.
  kNoLease,  ///< It may not use the key of the request's account.
  kNoServer  ///< It doesn't reach this server, or may not send there.
};

/// Returns the name of `refusal`, as hosts send it and write it to logs.
std::string_view ToString(RelayRefusal refusal);
/// Returns the refusal that `name` names; nullopt if it names none.
std::optional<RelayRefusal> ReadRelayRefusal(std::string_view name);

/// Which other entry hosts can pass a request on to a server that this host
/// doesn't reach. What they report and what they refused is remembered for a
/// second; a host of which nothing is known yet may be asked.
class RelayHosts {
 public:
  /// Time for which a refusal holds: the host isn't asked again.
  static constexpr Duration kRefusalLife = std::chrono::seconds(1);
  /// Time without a report after which a host of a small fleet isn't asked: all
  /// hosts report several times a second there.
  static constexpr Duration kHostSilence = std::chrono::seconds(1);
  /// Maximum number of hosts whose reports and refusals are remembered.
  static constexpr std::size_t kMaxViews = 1024;

  RelayHosts(Endpoint self, DataCentreId data_centre)
      : self_(std::move(self)), data_centre_(std::move(data_centre)) {}

  /// Sets the entry hosts, this one included.
  void SetHosts(std::span<const EntryHost> hosts,
                const HostWeights& weights = {});

  /// A host reported which servers it doesn't reach.
  void OnReport(const Endpoint& host,
                std::span<const ServerIncarnation> down,
                TimePoint now);
  /// A host did not pass on a request to `server`.
  void OnRefused(const Endpoint& host,
                 const ServerIncarnation& server,
                 RelayRefusal why,
                 TimePoint now);

  /// Returns a host that may reach `server`, one of the own data centre if
  /// there is one; nullopt if there is none.
  std::optional<Endpoint> Choose(const ServerIncarnation& server,
                                 TimePoint now,
                                 RandomSource& random) const;
  /// Returns whether Choose() would find a host.
  [[nodiscard]] bool CanReach(const ServerIncarnation& server,
                              TimePoint now) const;

 private:
  /// What is known of one host.
  struct View {
    std::optional<TimePoint> heard;
    std::vector<ServerIncarnation> down;
    TimePoint avoided_until;
    std::map<ServerIncarnation, TimePoint> refused_until;
  };

  [[nodiscard]] bool MayReach(const EntryHost& host,
                              const ServerIncarnation& server,
                              TimePoint now) const;
  [[nodiscard]] const DataCentreId* DataCentreOf(const Endpoint& host) const;

  Endpoint self_;
  DataCentreId data_centre_;
  std::vector<EntryHost> hosts_;
  HostWeights weights_;
  bool all_report_ = true;
  std::map<Endpoint, View> views_;
  /// Until when hosts of the own data centre come last: one is cut off, so the
  /// others may be.
  TimePoint others_first_until_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_RELAY_HOSTS_H_
