#include "fakes/fake_decode.h"

#include <algorithm>
#include <utility>

#include "fakes/fake_text.h"

namespace briarlead {

FakeDecode::FakeDecode(const BackendOptions& options, RunRecorder* recorder)
    : FakeBackend(options, recorder) {}

LoadReport FakeDecode::load() const {
  return {.running = running_,
          .waiting = static_cast<std::uint32_t>(jobs_.size()) - running_,
          .kv_used_bytes = kv_bytes_};
}

std::vector<HeldAttempt> FakeDecode::held() const {
  std::vector<HeldAttempt> held;
  for (const Job& it : jobs_)
    held.push_back(it.attempt);
  return held;
}

void FakeDecode::HandleWork(std::shared_ptr<HttpExchange> exchange) {
  if (exchange->path() != "/v1/completions" || exchange->method() != "POST")
    return RespondProblem(*exchange, 404, "Not Found", Execution::kNotRun);
  const auto attempt = ReadAttempt(*exchange);
  auto request = ParseDecodeRequest(exchange->body());
  if (!attempt || !request) {
    return RespondProblem(*exchange, 400,
                          attempt ? request.error().message : "X-Request-Id",
                          Execution::kNotRun);
  }
  auto kv = ParseKvTransferParams(request.value().kv_transfer_params);
  if (!kv)
    return RespondProblem(*exchange, 400, kv.error().message,
                          Execution::kNotRun);
  Job& job = jobs_.emplace_back();
  job.attempt = *attempt;
  job.exchange = std::move(exchange);
  job.request = std::move(request.value());
  job.kv = std::move(kv.value());
  job.offset = job.request.resume_from;
  const auto it = std::prev(jobs_.end());
  job.exchange->SetGoneHandler([this, it] {
    Take(it, "decode_aborted");
    StartNext();
  });
  Record({.event = "decode_received", .attempt = job.attempt});
  StartNext();
}

void FakeDecode::StartNext() {
  while (running_ < options().slots) {
    auto best = jobs_.end();
    for (auto it = jobs_.begin(); it != jobs_.end(); ++it) {
      if (it->state == JobState::kWaiting &&
          (best == jobs_.end() ||
           it->request.input.priority < best->request.input.priority)) {
        best = it;
      }
    }
    if (best == jobs_.end())
      return;
    StartImport(best);
  }
}

void FakeDecode::StartImport(JobIterator job) {
  ++running_;
  job->state = JobState::kImporting;
  kv_bytes_ += job->kv.kv_bytes;
  job->import = client_.Send(
      {.endpoint = job->kv.endpoint, .path = "/v1/kv/" + job->kv.handle},
      {.on_head = [job](int status,
                        const HeaderFields&) { job->import_status = status; },
       .on_done =
           [this, job](const HttpCallEnd& end) {
             OnImported(job, end.ok() && job->import_status == 200);
           }});
}

void FakeDecode::OnImported(JobIterator job, bool ok) {
  const auto import = std::move(job->import);
  if (!ok) {
    const auto exchange = Take(job, "import_failed");
    RespondProblem(*exchange, 424, "KV import failed", Execution::kNotRun);
    StartNext();
    return;
  }
  job->state = JobState::kStreaming;
  Record({.event = "decode_started",
          .attempt = job->attempt,
          .number = job->offset,
          .bytes = job->kv.kv_bytes});
  job->exchange->StartStream(200, {}, "text/event-stream");
  if (!step_timer_.running())
    step_timer_.StartEvery(options().token_time, [this] { Step(); });
}

void FakeDecode::Step() {
  bool streaming = false;
  for (auto it = jobs_.begin(); it != jobs_.end();) {
    const auto job = it++;
    if (job->state != JobState::kStreaming)
      continue;
    if (!SendToken(*job)) {
      streaming = true;
      continue;
    }
    const std::uint32_t tokens = job->offset;
    const auto exchange = Take(job, "decode_done");
    exchange->Write(WriteDecodeEvent(
        {.offset = tokens, .finish_reason = std::string("length")}));
    exchange->Write(WriteDecodeEvent({.done = true}));
    exchange->FinishStream();
  }
  if (!streaming)
    step_timer_.Stop();
  StartNext();
}

bool FakeDecode::SendToken(Job& job) {
  if (job.offset < job.request.max_tokens) {
    const std::uint32_t offset = job.offset++;
    job.exchange->Write(
        WriteDecodeEvent({.text = FakeToken(job.request.input.prompt, offset),
                          .offset = offset}));
  }
  return job.offset >= job.request.max_tokens;
}

std::shared_ptr<HttpExchange> FakeDecode::Take(JobIterator job,
                                               std::string_view event) {
  Record({.event = event, .attempt = job->attempt, .number = job->offset});
  if (job->state != JobState::kWaiting) {
    --running_;
    kv_bytes_ -= job->kv.kv_bytes;
  }
  auto exchange = std::move(job->exchange);
  exchange->SetGoneHandler(nullptr);
  jobs_.erase(job);
  return exchange;
}

void FakeDecode::Cancel(const HeldAttempt& attempt) {
  const auto job =
      std::find_if(jobs_.begin(), jobs_.end(),
                   [&attempt](const Job& it) { return it.attempt == attempt; });
  if (job == jobs_.end())
    return;
  const auto exchange = Take(job, "decode_cancelled");
  if (exchange->responded())
    exchange->Abort();
  else
    RespondProblem(*exchange, 409, "Cancelled", Execution::kNotRun);
  StartNext();
}

}  // namespace briarlead
