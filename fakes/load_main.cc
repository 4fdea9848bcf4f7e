#include <fmt/core.h>

#include <algorithm>
#include <cstdio>
#include <list>

#include "briarlead_core/random_source.h"
#include "fakes/load_caller.h"
#include "fakes/load_options.h"

namespace briarlead {

namespace {

constexpr int kExitUsage = 2;
constexpr double kMaxVanishDelayS = 0.05;
/// Callers still in progress this long after the last start count as cut.
constexpr Duration kDrainTime = std::chrono::seconds(60);

/// Starts callers at a rate, or keeps a number of them going, until the time
/// is over and all have ended.
class Load {
 public:
  explicit Load(const LoadOptions& options)
      : options_(options),
        random_(options.seed),
        loop_(g_main_loop_new(nullptr, FALSE)) {}
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;
  ~Load() { g_main_loop_unref(loop_); }

  CallReport& Run() {
    begin_ = LoopNow();
    end_timer_.StartOnce(options_.length, [this] { Stop(); });
    if (options_.rate > 0)
      ScheduleNext();
    for (std::uint32_t i = 0; options_.rate <= 0 && i < options_.concurrency;
         ++i) {
      StartOne();
    }
    g_main_loop_run(loop_);
    return report_;
  }

  [[nodiscard]] Duration length() const { return ended_ - begin_; }

 private:
  void ScheduleNext() {
    const auto delay = FromSeconds(random_.Exponential(1 / options_.rate));
    start_timer_.StartOnce(delay, [this] {
      StartOne();
      ScheduleNext();
    });
  }

  LoadPlan MakePlan() {
    LoadPlan plan;
    const std::uint64_t number = ++started_;
    plan.target = options_.targets[random_.Below(options_.targets.size())];
    plan.service = random_.Chance(options_.service_share);
    plan.post = random_.Chance(options_.post_share);
    plan.name = fmt::format("load-{}.{}.{}", options_.seed,
                            begin_.time_since_epoch().count(), number);
    plan.prompt = plan.name;
    const std::uint64_t words = random_.Below(options_.prompt_words + 1);
    for (std::uint64_t i = 0; i < words; ++i)
      plan.prompt += " sash";
    plan.max_tokens = static_cast<std::uint32_t>(
        options_.min_tokens +
        random_.Below(options_.max_tokens - options_.min_tokens + 1));
    plan.vanishes = random_.Chance(options_.vanish);
    plan.vanish_tokens =
        static_cast<std::uint32_t>(random_.Below(plan.max_tokens));
    plan.vanish_delay = FromSeconds(random_.Unit() * kMaxVanishDelayS);
    return plan;
  }

  void StartOne() {
    const auto it = callers_.emplace(callers_.end());
    *it = std::make_unique<LoadCaller>(options_, MakePlan(), client_, report_,
                                       [this, it] { OnEnd(it); });
    (*it)->Start();
  }

  void OnEnd(std::list<std::unique_ptr<LoadCaller>>::iterator it) {
    // The caller is on the stack: it goes at the next turn of the loop.
    ended_callers_.splice(ended_callers_.end(), callers_, it);
    if (!sweep_timer_.running()) {
      sweep_timer_.StartOnce(Duration(0), [this] { Sweep(); });
    }
  }

  void Sweep() {
    const std::size_t n = ended_callers_.size();
    ended_callers_.clear();
    for (std::size_t i = 0; !stopping_ && options_.rate <= 0 && i < n; ++i)
      StartOne();
    if (stopping_ && callers_.empty())
      Quit();
  }

  void Stop() {
    stopping_ = true;
    start_timer_.Stop();
    ended_ = LoopNow();
    if (callers_.empty())
      return Quit();
    end_timer_.StartOnce(kDrainTime, [this] {
      for (std::size_t i = 0; i < callers_.size(); ++i)
        report_.CountEnd(CallOutcome::kCut);
      Quit();
    });
  }

  void Quit() {
    ended_ = std::max(ended_, LoopNow());
    g_main_loop_quit(loop_);
  }

  const LoadOptions& options_;
  RandomSource random_;
  GMainLoop* loop_;
  HttpClient client_;
  CallReport report_;
  std::list<std::unique_ptr<LoadCaller>> callers_;
  std::list<std::unique_ptr<LoadCaller>> ended_callers_;
  LoopTimer start_timer_;
  LoopTimer end_timer_;
  LoopTimer sweep_timer_;
  std::uint64_t started_ = 0;
  bool stopping_ = false;
  TimePoint begin_;
  TimePoint ended_;
};

int RunLoad(const LoadOptions& options) {
  Load load(options);
  CallReport& report = load.Run();
  fmt::print("{}\n", report.ToJson(load.length()));
  return 0;
}

}  // namespace

}  // namespace briarlead

int main(int argc, char** argv) {
  const auto options = briarlead::ParseLoadOptions(argc, argv);
  if (options)
    return briarlead::RunLoad(options.value());
  if (options.error().code == briarlead::ErrorCode::kNotFound) {
    fmt::print("{}\n", options.error().message);
    return 0;
  }
  fmt::print(stderr, "briarlead_load: {}\n", options.error().message);
  return briarlead::kExitUsage;
}
