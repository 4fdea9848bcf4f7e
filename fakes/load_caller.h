#ifndef FAKES_LOAD_CALLER_H_
#define FAKES_LOAD_CALLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "briarlead_http/briarlead_http.h"
#include "fakes/call_report.h"
#include "fakes/load_options.h"
#include "fakes/loop_timer.h"

namespace briarlead {

/// What one caller asks for.
struct LoadPlan {
  Endpoint target;
  bool service = false;
  bool post = false;  ///< Of a service call: one that may not be repeated.
  std::string name;   ///< Unique in the run.
  std::string prompt;
  std::uint32_t max_tokens = 0;
  bool vanishes = false;
  std::uint32_t vanish_tokens = 0;  ///< It goes after so many tokens,
  Duration vanish_delay{0};         ///< or, with none, after this time.
};

/// One caller: sends its request, checks the answer, or goes early.
class LoadCaller {
 public:
  /// Calls `on_end` once, from the loop; it may destroy the caller.
  LoadCaller(const LoadOptions& options,
             LoadPlan plan,
             HttpClient& client,
             CallReport& report,
             std::function<void()> on_end);

  /// Begins the call.
  void Start();

 private:
  void StartCompletion();
  void StartService();
  void StartDirectPrefill();
  void StartDirectDecode();
  void Send(HttpRequest request);
  void OnEvent(const SseEvent& event);
  void OnDone(const HttpCallEnd& end);
  void End(CallOutcome outcome);
  [[nodiscard]] CallOutcome JudgeService() const;
  [[nodiscard]] HeaderFields MakeHeaders() const;

  const LoadOptions& options_;
  LoadPlan plan_;
  HttpClient& client_;
  CallReport& report_;
  std::function<void()> on_end_;
  std::unique_ptr<HttpCall> call_;
  SseParser parser_;
  LoopTimer vanish_timer_;
  std::string body_;
  std::string text_;
  int status_ = 0;
  std::uint32_t tokens_ = 0;
  bool prefilling_ = false;
  bool whole_stream_ = false;
  bool vanish_now_ = false;
  TimePoint started_;
  TimePoint last_token_;
};

}  // namespace briarlead

#endif  // FAKES_LOAD_CALLER_H_
