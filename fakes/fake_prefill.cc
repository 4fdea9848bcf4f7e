#include "fakes/fake_prefill.h"

#include <algorithm>
#include <utility>

namespace briarlead {

namespace {

constexpr std::string_view kKvPath = "/v1/kv/";

}  // namespace

LoadReport FakePrefill::load() const {
  LoadReport report{.running = running_};
  report.waiting = static_cast<std::uint32_t>(jobs_.size()) - running_;
  for (const auto& [handle, it] : results_)
    report.kv_used_bytes += it.bytes;
  return report;
}

std::vector<HeldAttempt> FakePrefill::held() const {
  std::vector<HeldAttempt> held;
  for (const Job& it : jobs_)
    held.push_back(it.attempt);
  for (const auto& [handle, it] : results_)
    held.push_back(it.attempt);
  return held;
}

void FakePrefill::HandleWork(std::shared_ptr<HttpExchange> exchange) {
  const std::string_view path = exchange->path();
  if (path == "/v1/completions" && exchange->method() == "POST")
    return TakePrompt(std::move(exchange));
  if (path.starts_with(kKvPath)) {
    const std::string handle(path.substr(kKvPath.size()));
    return SendKv(exchange, handle);
  }
  RespondProblem(*exchange, 404, "Not Found", Execution::kNotRun);
}

void FakePrefill::TakePrompt(std::shared_ptr<HttpExchange> exchange) {
  const auto attempt = ReadAttempt(*exchange);
  const auto request = ParsePrefillRequest(exchange->body());
  if (!attempt || !request) {
    return RespondProblem(*exchange, 400,
                          attempt ? request.error().message : "X-Request-Id",
                          Execution::kNotRun);
  }
  const EnginePrompt& input = request.value().input;
  Job& job = jobs_.emplace_back();
  job.attempt = *attempt;
  job.exchange = std::move(exchange);
  job.priority = input.priority;
  job.tokens = EstimateTokenCount(input.prompt + input.delivered_text);
  const auto it = std::prev(jobs_.end());
  job.exchange->SetGoneHandler([this, it] { Remove(it, "prefill_aborted"); });
  Record({.event = "prefill_received", .attempt = job.attempt});
  StartNext();
}

void FakePrefill::StartNext() {
  while (running_ < options().slots) {
    auto best = jobs_.end();
    for (auto it = jobs_.begin(); it != jobs_.end(); ++it) {
      if (!it->running &&
          (best == jobs_.end() || it->priority < best->priority))
        best = it;
    }
    if (best == jobs_.end())
      return;
    best->running = true;
    ++running_;
    Record({.event = "prefill_started",
            .attempt = best->attempt,
            .number = best->tokens});
    best->timer.StartOnce(
        options().prefill_time_per_1k_tokens * best->tokens / 1000,
        [this, best] { Finish(best); });
  }
}

void FakePrefill::Finish(JobIterator job) {
  const std::string handle =
      options().id + "-" + std::to_string(next_handle_++);
  KvResult& result = results_[handle];
  result.attempt = job->attempt;
  result.bytes = options().kv_bytes_per_token * job->tokens;
  result.timer.StartOnce(options().kv_life,
                         [this, handle] { Drop(handle, "kv_expired"); });
  const auto exchange = std::move(job->exchange);
  exchange->SetGoneHandler(nullptr);
  Record({.event = "prefill_done",
          .attempt = job->attempt,
          .number = job->tokens,
          .bytes = result.bytes});
  const std::string body = WritePrefillResult({.engine_id = options().id,
                                               .handle = handle,
                                               .endpoint = options().listen,
                                               .kv_bytes = result.bytes});
  --running_;
  jobs_.erase(job);
  RespondJson(*exchange, body);
  StartNext();
}

void FakePrefill::Remove(JobIterator job, std::string_view event) {
  Record({.event = event, .attempt = job->attempt});
  if (job->running)
    --running_;
  const auto exchange = std::move(job->exchange);
  exchange->SetGoneHandler(nullptr);
  jobs_.erase(job);
  RespondProblem(*exchange, 409, "Cancelled", Execution::kNotRun);
  StartNext();
}

void FakePrefill::SendKv(const std::shared_ptr<HttpExchange>& exchange,
                         const std::string& handle) {
  const auto it = results_.find(handle);
  if (it == results_.end() || it->second.reader) {
    return RespondProblem(*exchange, 404, "No such KV result",
                          Execution::kNotRun);
  }
  KvResult& result = it->second;
  result.reader = exchange;
  exchange->SetGoneHandler([this, handle] { Drop(handle, "kv_aborted"); });
  const TimePoint now = LoopNow();
  link_free_at_ =
      std::max(link_free_at_, now) +
      FromSeconds(static_cast<double>(result.bytes) /
                  static_cast<double>(options().link_bytes_per_second));
  result.timer.StartOnce(link_free_at_ - now, [this, handle] {
    const auto reader = results_.find(handle)->second.reader;
    Drop(handle, "kv_sent");
    RespondJson(*reader, "{}");
  });
}

void FakePrefill::Drop(const std::string& handle, std::string_view event) {
  const auto it = results_.find(handle);
  if (it == results_.end())
    return;
  Record({.event = event,
          .attempt = it->second.attempt,
          .bytes = it->second.bytes});
  const auto reader = std::move(it->second.reader);
  if (reader)
    reader->SetGoneHandler(nullptr);
  // `handle` may belong to the action of the timer that goes with the result.
  results_.erase(it);
}

void FakePrefill::Cancel(const HeldAttempt& attempt) {
  const auto job =
      std::find_if(jobs_.begin(), jobs_.end(),
                   [&attempt](const Job& it) { return it.attempt == attempt; });
  if (job != jobs_.end())
    Remove(job, "prefill_cancelled");
  const auto result = std::find_if(
      results_.begin(), results_.end(),
      [&attempt](const auto& it) { return it.second.attempt == attempt; });
  if (result != results_.end())
    Drop(std::string(result->first), "kv_cancelled");
}

}  // namespace briarlead
