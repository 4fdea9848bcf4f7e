#ifndef BRIARLEAD_FORWARD_ENGINE_LOAD_TRACKER_H_
#define BRIARLEAD_FORWARD_ENGINE_LOAD_TRACKER_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_forward/queue_forecast.h"
#include "briarlead_placement/engine_speeds.h"
#include "briarlead_routes/host_load.h"

namespace briarlead {

/// Identifies a request of this host in the EngineLoadTracker.
using RequestKey = std::uint64_t;

/// Identifies a request of any host.
struct HostRequest {
  HostId host;  ///< Empty for this host.
  RequestKey key = 0;

  friend auto operator<=>(const HostRequest&, const HostRequest&) = default;
};

/// Part of the time to the first token that is not prefill.
inline constexpr Duration kFirstTokenOverhead = std::chrono::milliseconds(40);
/// Prefill speed of an engine that latency targets are checked against, while
/// the engines of a service are alike.
inline constexpr double kPromptTokensPerSecond = 45'000;

/// Returns the time from placement to the first token on an idle engine.
inline Duration FirstTokenTime(std::uint32_t prompt_tokens,
                               double tokens_per_second) {
  return kFirstTokenOverhead + FromSeconds(prompt_tokens / tokens_per_second);
}

/// Sort key of a waiting request; the lesser one is served first.
struct ServingOrderKey {
  /// Its stream has not begun. One that has waits for the engines of its
  /// version alone, and its caller holds a part of it already.
  bool begins = true;
  /// It can't meet its target latency any more, so it must not make the next
  /// ones late too.
  bool late = false;
  std::uint32_t rank = 0;
  Duration target_left = Duration::zero();

  friend auto operator<=>(const ServingOrderKey&,
                          const ServingOrderKey&) = default;
};

/// Returns the sort key of a waiting request where the fastest engine prefills
/// `tokens_per_second`.
inline ServingOrderKey ServingOrder(
    const WaitingLoad& it,
    double tokens_per_second = kPromptTokensPerSecond) {
  const bool late =
      it.target_left < FirstTokenTime(it.prompt_tokens, tokens_per_second);
  return {!it.software.has_value(), late, it.rank, it.target_left};
}

/// A prefill that has ended.
struct PrefillWork {
  double tokens = 0;
  double backlog = 0;  ///< Tokens that were to be processed before it.
  TimePoint sent_at;
};

/// Tracks the load that all entry hosts place on the engines, and their waiting
/// requests: exactly for this host, by the last report for the other hosts.
class EngineLoadTracker {
 public:
  /// The report of a host that sends no new one for this long is discarded.
  static constexpr Duration kPeerTimeout = std::chrono::milliseconds(1500);
  /// A reservation for another host ends after this time, unless that host has
  /// reported the stream by then.
  static constexpr Duration kReservationLife = std::chrono::milliseconds(400);

  /// A waiting request of any host.
  struct Waiting {
    WaitingLoad load;
    HostRequest request;
  };

  void SetStream(RequestKey key, const StreamLoad& load, TimePoint now);
  /// Records tokens that a stream has produced.
  void AddTokens(RequestKey key, std::uint32_t tokens, TimePoint now);
  void RemoveStream(RequestKey key, TimePoint now);
  void SetPrefill(RequestKey key, const PrefillLoad& load, TimePoint now);
  void RemovePrefill(RequestKey key, TimePoint now);
  /// Adds a waiting request unless it is already there. `target` is the time at
  /// which its target latency ends.
  void SetWaiting(RequestKey key,
                  const WaitingLoad& load,
                  TimePoint target,
                  TimePoint now);
  void RemoveWaiting(RequestKey key, TimePoint now);

  /// Counts the load of a request of another host that this host has placed,
  /// until the other host reports it.
  void Reserve(const HostRequest& request,
               const StreamLoad& stream,
               const std::optional<PrefillLoad>& prefill,
               TimePoint now);
  void RemoveReservation(const HostRequest& request);

  /// Replaces another host's report. Messages that are older than its last one
  /// are dropped.
  void OnHostLoad(const HostId& host, const HostLoad& load, TimePoint now);
  /// Discards the reports of hosts that have been silent for kPeerTimeout and
  /// the reservations that have ended.
  void Expire(TimePoint now);

  /// Returns this host's load as the next message to the other hosts.
  HostLoad LocalLoad(TimePoint now);

  [[nodiscard]] std::vector<StreamLoad> StreamsOn(
      const BackendServerId& engine) const;
  /// Returns the streams of all engines.
  [[nodiscard]] std::map<BackendServerId, std::vector<StreamLoad>>
  StreamsByEngine() const;
  /// Returns the prompt tokens that the engine has yet to process.
  [[nodiscard]] std::uint64_t PrefillBacklog(
      const BackendServerId& engine) const;
  [[nodiscard]] std::size_t stream_count() const;
  /// Returns what is known of the engines' speeds.
  [[nodiscard]] EngineSpeeds& speeds() { return speeds_; }
  [[nodiscard]] const EngineSpeeds& speeds() const { return speeds_; }
  /// Records that a prefill of this host has ended. `knows_all` says whether
  /// all hosts report their prefills to this one.
  void NotePrefill(const ServerRecord& engine,
                   const PrefillWork& work,
                   bool knows_all,
                   TimePoint now);
  /// Records that a stream of this host got `tokens` within `took`.
  void NotePace(const ServerRecord& engine,
                std::uint32_t tokens,
                Duration took,
                TimePoint now);
  /// Records what another host observed of `engine`.
  void NoteReported(const ServerRecord& engine,
                    const EngineSpeedReport::Entry& entry,
                    TimePoint now);
  /// Returns the prefill speed of the service's fastest engine.
  [[nodiscard]] double PromptSpeed(const ServiceId& service) const {
    return speeds_.FastestOf(service, SpeedKind::kPrefill,
                             kPromptTokensPerSecond);
  }
  /// Forecasts how long the request at `position`, from 1, of the order of all
  /// waiting requests waits for an engine.
  [[nodiscard]] Duration ForecastWait(std::size_t position) const {
    return forecast_.Wait(position, stream_count());
  }
  /// Returns the requests of all hosts that wait for engines of `service`, in
  /// ServingOrder().
  [[nodiscard]] std::vector<Waiting> WaitingInOrder(const ServiceId& service,
                                                    TimePoint now) const;

  /// Increases with each change of this host's load that others must know.
  [[nodiscard]] std::uint64_t local_revision() const { return local_revision_; }
  /// Increases with each change of any host's load.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

 private:
  struct LocalWaiting {
    WaitingLoad load;
    TimePoint target;
  };
  struct Peer {
    HostLoad load;
    TimePoint last_heard;
  };
  struct Reservation {
    StreamLoad stream;
    std::optional<PrefillLoad> prefill;
    TimePoint ends;
  };

  void MarkLocalChange();
  /// Tells the forecast that a stream has ended.
  void NoteEnded(const HostRequest& request, TimePoint now);
  /// Compares the streams in a host's report with the known ones.
  void NoteReport(const HostId& host, const HostLoad& load, TimePoint now);
  /// Calls `action` with each stream of any host.
  template <typename Action>
  void ForEachStream(Action action) const;
  /// Calls `action` with each prefill of any host.
  template <typename Action>
  void ForEachPrefill(Action action) const;

  std::map<RequestKey, StreamLoad> streams_;
  std::map<RequestKey, PrefillLoad> prefills_;
  std::map<RequestKey, LocalWaiting> waiting_;
  std::map<HostId, Peer> peers_;
  std::map<HostRequest, Reservation> reservations_;
  /// When each stream of any host was placed.
  std::map<HostRequest, TimePoint> stream_starts_;
  QueueForecast forecast_;
  EngineSpeeds speeds_;
  /// When the last prefill that this host knows of ended at each engine.
  std::map<BackendServerId, TimePoint> prefill_ends_;
  std::uint64_t local_revision_ = 0;
  std::uint64_t revision_ = 0;
  std::uint64_t last_number_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_ENGINE_LOAD_TRACKER_H_
