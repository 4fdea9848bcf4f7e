#include "briarlead_placement/engine_speeds.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace briarlead {

namespace {

/// Change of an estimate that is logged.
constexpr double kLoggedChange = 0.2;
/// Factor by which a learnt overhead exceeds the usual one if what was observed
/// before is discarded.
constexpr double kForgottenOverheadFactor = 2;

std::size_t IndexOf(SpeedKind kind) {
  return static_cast<std::size_t>(kind);
}

double MedianOfValues(std::vector<double> values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

bool Differs(double speed, double median, double by) {
  return std::abs(speed / median - 1) > by;
}

}  // namespace

std::string_view ToString(SpeedKind kind) {
  return kind == SpeedKind::kPrefill ? "prefill" : "stream";
}

double EngineSpeeds::RawEstimate(const Values& window) {
  return MedianOfValues({window.begin(), window.end()});
}

double EngineSpeeds::EstimateWithPrior(const Values& window, double prior) {
  std::vector<double> values(window.begin(), window.end());
  values.insert(values.end(), kPriorWeight, prior);
  return MedianOfValues(std::move(values));
}

double EngineSpeeds::SpeedBy(const Values& window,
                             SpeedKind kind,
                             double median) {
  if (window.size() < kMinObservations)
    return median;
  const double tolerance =
      kind == SpeedKind::kPrefill ? kTolerance : kPaceTolerance;
  const auto slower =
      std::count_if(window.begin(), window.end(),
                    [=](double it) { return it < median * (1 - tolerance); });
  const auto faster =
      std::count_if(window.begin(), window.end(),
                    [=](double it) { return it > median * (1 + tolerance); });
  const double agreement = static_cast<double>(std::max(slower, faster)) /
                           static_cast<double>(window.size());
  const double speed = EstimateWithPrior(window, median);
  return agreement >= kMinAgreement && Differs(speed, median, tolerance)
             ? speed
             : median;
}

void EngineSpeeds::ForgetObservations(const ServiceId& service,
                                      SpeedKind kind) {
  for (auto& [id, engine] : engines_) {
    if (engine.service == service)
      engine.windows[IndexOf(kind)].clear();
  }
  services_[service].summarized = false;
}

EngineSpeeds::Engine* EngineSpeeds::EngineFor(const ServerRecord& engine) {
  const ServerIncarnation id = IncarnationOf(engine);
  const auto found = engines_.find(id);
  if (found != engines_.end())
    return &found->second;
  if (engines_.size() >= kMaxEngines)
    return nullptr;
  Engine& added = engines_[id];
  added.service = engine.service;
  return &added;
}

bool EngineSpeeds::Observe(const ServerRecord& engine,
                           SpeedKind kind,
                           double speed,
                           TimePoint now) {
  Engine* known = EngineFor(engine);
  if (known == nullptr || !(speed > 0) || !std::isfinite(speed))
    return false;
  std::optional<TimePoint>& last = known->observed_at[IndexOf(kind)];
  if (last.has_value() && now - *last < kObservationInterval)
    return false;
  last = now;
  Values& window = known->windows[IndexOf(kind)];
  window.push_back(speed);
  if (window.size() > kWindow)
    window.pop_front();
  ++services_[engine.service].changes;
  return true;
}

void EngineSpeeds::OnPrefill(const ServerRecord& engine,
                             double tokens,
                             Duration took,
                             bool has_overhead,
                             bool is_exact,
                             TimePoint now) {
  const double seconds = ToSeconds(took);
  if (tokens <= 0 || seconds <= 0)
    return;
  PairFit& fit = services_[engine.service].prefill_times;
  if (has_overhead && is_exact &&
      fit.Add(IncarnationOf(engine), tokens, seconds) &&
      fit.ConstantOr(0) > kForgottenOverheadFactor * ToSeconds(kUsualOverhead))
    ForgetObservations(engine.service, SpeedKind::kPrefill);
  const double overhead =
      has_overhead ? fit.ConstantOr(ToSeconds(kUsualOverhead)) : 0;
  if (tokens < kMinPrefillTokens || overhead > kMaxOverheadShare * seconds)
    return;
  const double speed = tokens / (seconds - overhead);
  if (Observe(engine, SpeedKind::kPrefill, speed, now))
    engines_[IncarnationOf(engine)].unreported[0].push_back(speed);
}

bool EngineSpeeds::ObservePace(const ServerRecord& engine,
                               double pace,
                               std::size_t streams,
                               TimePoint now) {
  if (!(pace > 0) || !std::isfinite(pace))
    return false;
  const double batch = static_cast<double>(std::max<std::size_t>(streams, 1));
  PairFit& fit = services_[engine.service].step_times;
  if (fit.Add(IncarnationOf(engine), batch, 1 / pace))
    ForgetObservations(engine.service, SpeedKind::kStream);
  const double slope = fit.relative_slope();
  const double normalized =
      pace * (1 + slope * batch) / (1 + slope * kReferenceStreams);
  return Observe(engine, SpeedKind::kStream, normalized, now);
}

void EngineSpeeds::OnPace(const ServerRecord& engine,
                          double tokens,
                          Duration took,
                          std::size_t streams,
                          TimePoint now) {
  if (tokens <= 0 || took <= Duration::zero())
    return;
  // Owners know the batch size better, so they get the pace as it was.
  const double pace = tokens / ToSeconds(took);
  if (ObservePace(engine, pace, streams, now))
    engines_[IncarnationOf(engine)].unreported[1].push_back(pace);
}

void EngineSpeeds::OnReported(const ServerRecord& engine,
                              const EngineSpeedReport::Entry& entry,
                              std::size_t streams,
                              TimePoint now) {
  Observe(engine, SpeedKind::kPrefill, entry.prefill_tokens_per_second, now);
  ObservePace(engine, entry.decode_tokens_per_second, streams, now);
}

void EngineSpeeds::Forget(const ServerIncarnation& engine) {
  const auto found = engines_.find(engine);
  if (found == engines_.end())
    return;
  ++services_[found->second.service].changes;
  engines_.erase(found);
}

EngineSpeeds::Summary EngineSpeeds::Summarize(const ServiceId& service,
                                              SpeedKind kind) const {
  std::vector<double> estimates;
  for (const auto& [id, engine] : engines_) {
    const Values& window = Window(engine, kind);
    if (engine.service == service && window.size() >= kMinObservations)
      estimates.push_back(RawEstimate(window));
  }
  Summary summary;
  // Before, paces at different batch sizes can't be compared.
  const bool comparable =
      kind == SpeedKind::kPrefill || services_.at(service).step_times.settled();
  if (estimates.empty() || !comparable)
    return summary;
  summary.median = MedianOfValues(estimates);
  for (const auto& [id, engine] : engines_) {
    const Values& window = Window(engine, kind);
    if (engine.service != service || window.size() < kMinObservations)
      continue;
    const double speed = SpeedBy(window, kind, summary.median);
    summary.uneven |= speed != summary.median;
    summary.fastest = std::max(summary.fastest, speed);
  }
  return summary;
}

const EngineSpeeds::Summary& EngineSpeeds::SummaryOf(const ServiceId& service,
                                                     SpeedKind kind) const {
  static const Summary kNone;
  const auto found = services_.find(service);
  if (found == services_.end())
    return kNone;
  const Service& known = found->second;
  const auto changes = static_cast<double>(known.changes);
  if (!known.summarized ||
      (changes > 0 &&
       changes >= kRefreshShare * static_cast<double>(engines_.size()))) {
    known.changes = 0;
    known.summarized = true;
    for (const SpeedKind it : kKinds)
      known.summaries[IndexOf(it)] = Summarize(service, it);
  }
  return known.summaries[IndexOf(kind)];
}

bool EngineSpeeds::IsUneven(const ServiceId& service, SpeedKind kind) const {
  return SummaryOf(service, kind).uneven;
}

double EngineSpeeds::SpeedOf(const ServiceId& service,
                             const ServerIncarnation& engine,
                             SpeedKind kind,
                             double usual) const {
  const Summary& summary = SummaryOf(service, kind);
  if (!summary.uneven)
    return usual;
  const auto found = engines_.find(engine);
  return found == engines_.end()
             ? summary.median
             : SpeedBy(Window(found->second, kind), kind, summary.median);
}

double EngineSpeeds::MedianOf(const ServiceId& service,
                              SpeedKind kind,
                              double usual) const {
  const Summary& summary = SummaryOf(service, kind);
  return summary.uneven ? summary.median : usual;
}

double EngineSpeeds::FastestOf(const ServiceId& service,
                               SpeedKind kind,
                               double usual) const {
  const Summary& summary = SummaryOf(service, kind);
  return summary.uneven ? summary.fastest : usual;
}

std::optional<EngineSpeedReport> EngineSpeeds::TakeReport(TimePoint now) {
  if (now < next_report_)
    return std::nullopt;
  next_report_ = now + kReportInterval;
  EngineSpeedReport report;
  for (auto& [id, engine] : engines_) {
    if (report.engines.size() >= EngineSpeedReport::kMaxEngines)
      break;
    // Without a median of its own, this host can't tell that they are alike.
    // Reported are all observations of a service or none: only those that
    // deviate would make every engine look slow.
    EngineSpeedReport::Entry entry{id, 0, 0};
    for (const SpeedKind it : kKinds) {
      std::vector<double>& values = engine.unreported[IndexOf(it)];
      const Summary& summary = SummaryOf(engine.service, it);
      if (values.empty())
        continue;
      if (summary.median <= 0 || summary.uneven) {
        (it == SpeedKind::kPrefill ? entry.prefill_tokens_per_second
                                   : entry.decode_tokens_per_second) =
            MedianOfValues(values);
      }
      values.clear();
    }
    if (entry.prefill_tokens_per_second > 0 ||
        entry.decode_tokens_per_second > 0) {
      report.engines.push_back(entry);
    }
  }
  if (report.engines.empty())
    return std::nullopt;
  return report;
}

std::vector<EngineSpeeds::Change> EngineSpeeds::TakeChanges() {
  std::vector<Change> changes;
  for (auto& [id, engine] : engines_) {
    for (const SpeedKind it : kKinds) {
      const Values& window = Window(engine, it);
      if (window.size() < kMinObservations)
        continue;
      const double speed = RawEstimate(window);
      double& told = engine.told[IndexOf(it)];
      if (told > 0 && !Differs(speed, told, kLoggedChange))
        continue;
      changes.push_back({id, it, told, speed});
      told = speed;
    }
  }
  return changes;
}

}  // namespace briarlead
