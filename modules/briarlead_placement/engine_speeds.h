#ifndef BRIARLEAD_PLACEMENT_ENGINE_SPEEDS_H_
#define BRIARLEAD_PLACEMENT_ENGINE_SPEEDS_H_

#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_placement/pair_fit.h"
#include "briarlead_routes/capacity_message.h"
#include "briarlead_routes/server_record.h"

namespace briarlead {

/// The kinds of speed of an engine, in tokens per second.
enum class SpeedKind {
  kPrefill,  ///< Prompt tokens of all requests.
  kStream,   ///< Tokens of one stream in a batch of kReferenceStreams.
};

/// Returns the name of `kind` for logs and metrics.
std::string_view ToString(SpeedKind kind);

/// Learns the speeds of engines from how long prefills and streams took. As
/// long as the engines of a service are alike within kTolerance, each has the
/// usual speed that the caller states, so that an even fleet is unaffected.
class EngineSpeeds {
 public:
  /// Observations whose median is the estimate. Engines are slowed for some
  /// hundred milliseconds at 15% of the times; a median over fewer
  /// observations takes that for lasting slowness too often.
  static constexpr std::size_t kWindow = 15;
  /// Observations that the speed expected of an unobserved engine counts for.
  static constexpr std::size_t kPriorWeight = 2;
  /// Fewer observations than this don't show that an engine is different.
  static constexpr std::size_t kMinObservations = 5;
  /// Difference from the service's median that counts as none.
  static constexpr double kTolerance = 0.1;
  /// The same for the pace of streams. The batch size that a host knows
  /// contains streams that are not produced yet, so the conversion leaves an
  /// error.
  static constexpr double kPaceTolerance = 0.2;
  /// Least share of an engine's observations that lie beyond kTolerance, on one
  /// side, if it is different: single ones have large errors.
  static constexpr double kMinAgreement = 0.7;
  /// Least time between two observations of an engine: those of one short
  /// slowdown are not independent.
  static constexpr Duration kObservationInterval =
      std::chrono::milliseconds(200);
  /// Least number of prompt tokens of an observed prefill: of a shorter one,
  /// the overhead is the larger part.
  static constexpr double kMinPrefillTokens = 1'000;
  /// Overhead of a prefill as long as none is learnt.
  static constexpr Duration kUsualOverhead = std::chrono::milliseconds(20);
  /// A prefill whose overhead makes up more of the time says nothing of the
  /// speed.
  static constexpr double kMaxOverheadShare = 0.6;
  /// Batch size that the pace of a stream is converted to.
  static constexpr double kReferenceStreams = 8;
  /// Share of the engines that observations may be of before the medians are
  /// computed anew.
  static constexpr double kRefreshShare = 0.1;
  /// Least time between two reports.
  static constexpr Duration kReportInterval = std::chrono::milliseconds(300);
  /// Maximum number of engines that are tracked.
  static constexpr std::size_t kMaxEngines = 16'000;

  /// A prefill of this host ended. If `has_overhead`, `took` is the time since
  /// it was sent, and otherwise since the end of the one before it; `tokens`
  /// are those processed in that time. `is_exact` is false if others were
  /// queued before it, of which it is unknown how much was left.
  void OnPrefill(const ServerRecord& engine,
                 double tokens,
                 Duration took,
                 bool has_overhead,
                 bool is_exact,
                 TimePoint now);
  /// A stream of this host got `tokens` within `took` on an engine that runs
  /// `streams` streams, as far as this host knows.
  void OnPace(const ServerRecord& engine,
              double tokens,
              Duration took,
              std::size_t streams,
              TimePoint now);
  /// Another host reported the observation `entry` of `engine`.
  void OnReported(const ServerRecord& engine,
                  const EngineSpeedReport::Entry& entry,
                  std::size_t streams,
                  TimePoint now);
  /// Discards an engine that has ended.
  void Forget(const ServerIncarnation& engine);
  /// Discards the engines for which `is_known` returns false.
  template <typename IsKnown>
  void RetainIf(IsKnown is_known) {
    const std::size_t n = std::erase_if(
        engines_, [&](const auto& it) { return !is_known(it.first); });
    for (auto& [id, service] : services_)
      service.changes += n;
  }

  /// Returns the speed of `engine`; `usual` while the engines of its service
  /// are alike.
  [[nodiscard]] double SpeedOf(const ServiceId& service,
                               const ServerIncarnation& engine,
                               SpeedKind kind,
                               double usual) const;
  /// Returns the median speed of the service's engines; `usual` as above.
  [[nodiscard]] double MedianOf(const ServiceId& service,
                                SpeedKind kind,
                                double usual) const;
  /// Returns the speed of the service's fastest engine; `usual` as above.
  [[nodiscard]] double FastestOf(const ServiceId& service,
                                 SpeedKind kind,
                                 double usual) const;
  /// Returns whether engines of the service differ by more than kTolerance.
  [[nodiscard]] bool IsUneven(const ServiceId& service, SpeedKind kind) const;

  /// Returns what this host observed since the last report, at most every
  /// kReportInterval; nullopt if there is nothing to report. Services whose
  /// engines are alike by what this host knows are left out.
  std::optional<EngineSpeedReport> TakeReport(TimePoint now);

  /// An estimate that changed by more than a fifth since it was last returned.
  struct Change {
    ServerIncarnation engine;
    SpeedKind kind = SpeedKind::kPrefill;
    double before = 0;  ///< Zero if there was none.
    double after = 0;
  };
  std::vector<Change> TakeChanges();

  /// Calls `action` with an engine, a kind and its estimate, for each.
  template <typename Action>
  void ForEach(Action action) const {
    for (const auto& [id, engine] : engines_) {
      for (const SpeedKind it : kKinds) {
        if (!Window(engine, it).empty())
          action(id, it, RawEstimate(Window(engine, it)));
      }
    }
  }

 private:
  static constexpr std::array kKinds = {SpeedKind::kPrefill,
                                        SpeedKind::kStream};
  using Values = std::deque<double>;

  struct Engine {
    ServiceId service;
    std::array<Values, 2> windows;
    std::array<std::optional<TimePoint>, 2> observed_at;
    std::array<double, 2> told = {};  ///< The estimates last returned.
    /// Observations of this host that no report contains yet.
    std::array<std::vector<double>, 2> unreported;
  };
  /// What the estimates of a service's engines have in common.
  struct Summary {
    double median = 0;  ///< Zero if no engine was observed enough.
    double fastest = 0;
    bool uneven = false;
  };
  struct Service {
    PairFit prefill_times;  ///< Seconds over tokens.
    PairFit step_times;     ///< Seconds per token over streams.
    mutable std::array<Summary, 2> summaries;
    mutable std::size_t changes = 0;  ///< Since the summaries were made.
    mutable bool summarized = false;
  };

  static const Values& Window(const Engine& engine, SpeedKind kind) {
    return engine.windows[static_cast<std::size_t>(kind)];
  }
  static double RawEstimate(const Values& window);
  /// Returns the estimate with `prior` counted as kPriorWeight observations.
  static double EstimateWithPrior(const Values& window, double prior);
  Engine* EngineFor(const ServerRecord& engine);
  /// Discards what was observed before the overhead, or the effect of the batch
  /// size, was known.
  void ForgetObservations(const ServiceId& service, SpeedKind kind);
  /// Records an observation; returns whether it came late enough after the
  /// last one.
  bool Observe(const ServerRecord& engine,
               SpeedKind kind,
               double speed,
               TimePoint now);
  bool ObservePace(const ServerRecord& engine,
                   double pace,
                   std::size_t streams,
                   TimePoint now);
  [[nodiscard]] const Summary& SummaryOf(const ServiceId& service,
                                         SpeedKind kind) const;
  [[nodiscard]] Summary Summarize(const ServiceId& service,
                                  SpeedKind kind) const;
  /// Returns the speed by an engine's observations, or `median` if these don't
  /// show that it differs.
  static double SpeedBy(const Values& window, SpeedKind kind, double median);

  std::map<ServerIncarnation, Engine> engines_;
  std::map<ServiceId, Service> services_;
  TimePoint next_report_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_PLACEMENT_ENGINE_SPEEDS_H_
