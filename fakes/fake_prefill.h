#ifndef FAKES_FAKE_PREFILL_H_
#define FAKES_FAKE_PREFILL_H_

#include <list>
#include <map>
#include <memory>
#include <string>

#include "fakes/fake_backend.h"
#include "fakes/loop_timer.h"

namespace briarlead {

/// A prefill engine: reads prompts for the time that their length takes, up to
/// its slots at once, and keeps each KV result for its short life.
class FakePrefill : public FakeBackend {
 public:
  using FakeBackend::FakeBackend;

  [[nodiscard]] LoadReport load() const override;
  [[nodiscard]] std::vector<HeldAttempt> held() const override;

 protected:
  void HandleWork(std::shared_ptr<HttpExchange> exchange) override;
  void Cancel(const HeldAttempt& attempt) override;

 private:
  /// A prompt that waits or is being read.
  struct Job {
    HeldAttempt attempt;
    std::shared_ptr<HttpExchange> exchange;
    std::uint32_t priority = 0;
    std::uint32_t tokens = 0;
    bool running = false;
    LoopTimer timer;
  };
  using JobIterator = std::list<Job>::iterator;

  /// A KV result that waits for its decode engine, or is on its way there.
  struct KvResult {
    HeldAttempt attempt;
    std::uint64_t bytes = 0;
    std::shared_ptr<HttpExchange> reader;
    LoopTimer timer;
  };

  void TakePrompt(std::shared_ptr<HttpExchange> exchange);
  void SendKv(const std::shared_ptr<HttpExchange>& exchange,
              const std::string& handle);
  void StartNext();
  void Finish(JobIterator job);
  void Remove(JobIterator job, std::string_view event);
  void Drop(const std::string& handle, std::string_view event);

  std::list<Job> jobs_;
  std::map<std::string, KvResult, std::less<>> results_;
  std::uint32_t running_ = 0;
  std::uint64_t next_handle_ = 1;
  TimePoint link_free_at_;
};

}  // namespace briarlead

#endif  // FAKES_FAKE_PREFILL_H_
