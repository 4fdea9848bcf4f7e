#ifndef FAKES_FAKE_SERVICE_H_
#define FAKES_FAKE_SERVICE_H_

#include <deque>
#include <list>
#include <memory>

#include "fakes/fake_backend.h"
#include "fakes/loop_timer.h"

namespace briarlead {

/// A runner of a plain service: answers GET, and records each POST as one run
/// of an operation that may not be repeated.
class FakeService : public FakeBackend {
 public:
  using FakeBackend::FakeBackend;

  [[nodiscard]] LoadReport load() const override;
  [[nodiscard]] std::vector<HeldAttempt> held() const override { return {}; }

 protected:
  void HandleWork(std::shared_ptr<HttpExchange> exchange) override;
  void Cancel(const HeldAttempt& /*attempt*/) override {}

 private:
  struct Run {
    std::shared_ptr<HttpExchange> exchange;
    std::string answer;
    LoopTimer timer;
  };

  void StartNext();
  std::string RunOnce(const HttpExchange& exchange);

  std::deque<std::shared_ptr<HttpExchange>> waiting_;
  std::list<Run> runs_;
  std::uint64_t bookings_ = 0;
};

}  // namespace briarlead

#endif  // FAKES_FAKE_SERVICE_H_
