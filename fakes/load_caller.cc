#include "fakes/load_caller.h"

#include <utility>

#include "briarlead_http/json_access.h"
#include "fakes/fake_text.h"

namespace briarlead {

namespace {

constexpr Duration kAnswerTimeout = std::chrono::seconds(60);

}  // namespace

LoadCaller::LoadCaller(const LoadOptions& options,
                       LoadPlan plan,
                       HttpClient& client,
                       CallReport& report,
                       std::function<void()> on_end)
    : options_(options),
      plan_(std::move(plan)),
      client_(client),
      report_(report),
      on_end_(std::move(on_end)) {}

void LoadCaller::Start() {
  started_ = LoopNow();
  last_token_ = started_;
  report_.CountSent();
  if (plan_.vanishes && plan_.vanish_tokens == 0) {
    vanish_timer_.StartOnce(plan_.vanish_delay,
                            [this] { End(CallOutcome::kVanished); });
  }
  if (plan_.service)
    return StartService();
  if (options_.direct)
    return StartDirectPrefill();
  StartCompletion();
}

HeaderFields LoadCaller::MakeHeaders() const {
  HeaderFields headers = {{"Authorization", "Bearer " + options_.key},
                          {"Content-Type", "application/json"}};
  if (plan_.service && plan_.post)
    headers.Add("Idempotency-Key", plan_.name);
  if (options_.direct) {
    headers.Add(std::string(kRequestIdHeader), plan_.name);
    headers.Add(std::string(kAttemptHeader), "1");
  }
  return headers;
}

void LoadCaller::StartService() {
  Send({.endpoint = plan_.target,
        .method = plan_.post ? "POST" : "GET",
        .path = options_.service_path + (plan_.post ? "/bookings" : "/visits"),
        .headers = MakeHeaders(),
        .body = plan_.post ? "{\"visit\":\"" + plan_.name + "\"}" : "",
        .first_byte_timeout = kAnswerTimeout});
}

void LoadCaller::StartCompletion() {
  const nlohmann::json body = {{"model", options_.model},
                               {"prompt", plan_.prompt},
                               {"max_tokens", plan_.max_tokens},
                               {"stream", true}};
  Send({.endpoint = plan_.target,
        .method = "POST",
        .path = "/v1/completions",
        .headers = MakeHeaders(),
        .body = DumpJson(body),
        .first_byte_timeout = kAnswerTimeout});
}

void LoadCaller::StartDirectPrefill() {
  prefilling_ = true;
  Send({.endpoint = options_.targets[0],
        .method = "POST",
        .path = "/v1/completions",
        .headers = MakeHeaders(),
        .body = WritePrefillRequest(
            {{.model = options_.model, .prompt = plan_.prompt}}),
        .first_byte_timeout = kAnswerTimeout});
}

void LoadCaller::StartDirectDecode() {
  const auto kv = ParsePrefillResult(body_);
  if (!kv)
    return End(CallOutcome::kRefused);
  Send({.endpoint = options_.targets[1],
        .method = "POST",
        .path = "/v1/completions",
        .headers = MakeHeaders(),
        .body = WriteDecodeRequest(
            {.input = {.model = options_.model, .prompt = plan_.prompt},
             .max_tokens = plan_.max_tokens,
             .kv_transfer_params = kv.value().kv_transfer_params}),
        .first_byte_timeout = kAnswerTimeout});
}

void LoadCaller::Send(HttpRequest request) {
  const auto take_data = [this](std::string_view data) {
    const bool stream = !plan_.service && !prefilling_ && status_ == 200;
    if (!stream) {
      body_ += data;
      return;
    }
    // A failure shows as a stream without its end.
    (void)parser_.Feed(data, [this](const SseEvent& it) { OnEvent(it); });
    if (vanish_now_)
      End(CallOutcome::kVanished);
  };
  call_ = client_.Send(
      std::move(request),
      {.on_head = [this](int status, const HeaderFields&) { status_ = status; },
       .on_data = take_data,
       .on_done = [this](const HttpCallEnd& end) { OnDone(end); }});
}

void LoadCaller::OnEvent(const SseEvent& event) {
  const auto token = ParseDecodeEvent(event.data);
  if (!token)
    return;
  if (token.value().done) {
    whole_stream_ = true;
    return;
  }
  if (token.value().text.empty())
    return;
  const TimePoint now = LoopNow();
  if (tokens_ == 0)
    report_.AddFirst(now - started_);
  else
    report_.AddGap(now - last_token_);
  last_token_ = now;
  ++tokens_;
  text_ += token.value().text;
  if (plan_.vanishes && tokens_ == plan_.vanish_tokens)
    vanish_now_ = true;
}

void LoadCaller::OnDone(const HttpCallEnd& end) {
  report_.CountStatus(status_);
  if (status_ != 200 && end.ok())
    return End(CallOutcome::kRefused);
  if (!end.ok()) {
    return End(end.request_may_have_left ? CallOutcome::kCut
                                         : CallOutcome::kRefused);
  }
  if (plan_.service)
    return End(JudgeService());
  if (std::exchange(prefilling_, false))
    return StartDirectDecode();
  if (!whole_stream_)
    return End(CallOutcome::kCut);
  const bool own = text_ == FakeAnswer(plan_.prompt, plan_.max_tokens);
  End(own ? CallOutcome::kWhole : CallOutcome::kWrong);
}

CallOutcome LoadCaller::JudgeService() const {
  report_.AddFirst(LoopNow() - started_);
  const auto json = ParseJsonObject(body_);
  if (!json)
    return CallOutcome::kWrong;
  if (!plan_.post)
    return CallOutcome::kWhole;
  const bool own = StringMember(json.value(), "key") == plan_.name;
  return own ? CallOutcome::kWhole : CallOutcome::kWrong;
}

void LoadCaller::End(CallOutcome outcome) {
  report_.CountEnd(outcome);
  vanish_timer_.Stop();
  const auto call = std::move(call_);
  const auto on_end = std::move(on_end_);
  on_end();
}

}  // namespace briarlead
