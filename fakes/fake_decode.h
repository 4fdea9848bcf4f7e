#ifndef FAKES_FAKE_DECODE_H_
#define FAKES_FAKE_DECODE_H_

#include <list>
#include <memory>

#include "fakes/fake_backend.h"
#include "fakes/loop_timer.h"

namespace briarlead {

/// A decode engine: imports KV results and streams one token to each of its
/// running requests every step. Requests beyond its slots wait by priority.
class FakeDecode : public FakeBackend {
 public:
  FakeDecode(const BackendOptions& options, RunRecorder* recorder);

  [[nodiscard]] LoadReport load() const override;
  [[nodiscard]] std::vector<HeldAttempt> held() const override;

 protected:
  void HandleWork(std::shared_ptr<HttpExchange> exchange) override;
  void Cancel(const HeldAttempt& attempt) override;

 private:
  enum class JobState { kWaiting, kImporting, kStreaming };

  struct Job {
    HeldAttempt attempt;
    std::shared_ptr<HttpExchange> exchange;
    DecodeRequest request;
    KvTransferParams kv;
    JobState state = JobState::kWaiting;
    std::uint32_t offset = 0;  ///< Of the next token.
    int import_status = 0;
    std::unique_ptr<HttpCall> import;
  };
  using JobIterator = std::list<Job>::iterator;

  void StartNext();
  void StartImport(JobIterator job);
  void OnImported(JobIterator job, bool ok);
  void Step();
  /// Sends the job's next token; returns whether it was the last.
  bool SendToken(Job& job);
  std::shared_ptr<HttpExchange> Take(JobIterator job, std::string_view event);

  HttpClient client_;
  std::list<Job> jobs_;
  std::uint32_t running_ = 0;
  std::uint64_t kv_bytes_ = 0;
  LoopTimer step_timer_;
};

}  // namespace briarlead

#endif  // FAKES_FAKE_DECODE_H_
