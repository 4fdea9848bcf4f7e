#ifndef FAKES_FAKE_BACKEND_H_
#define FAKES_FAKE_BACKEND_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "briarlead_http/announcement.h"
#include "briarlead_http/briarlead_http.h"
#include "fakes/backend_options.h"
#include "fakes/order_book.h"
#include "fakes/run_recorder.h"

namespace briarlead {

/// What every fake backend server does; the roles add their work.
class FakeBackend {
 public:
  FakeBackend(const BackendOptions& options, RunRecorder* recorder)
      : options_(options),
        recorder_(recorder),
        orders_(options.ignore_fencing) {}
  FakeBackend(const FakeBackend&) = delete;
  FakeBackend& operator=(const FakeBackend&) = delete;
  virtual ~FakeBackend() = default;

  /// Takes one request.
  void Handle(std::shared_ptr<HttpExchange> exchange);

  /// Notes that this server leaves; its work goes on.
  void Leave();

  /// What it reports of itself, and what it holds for requests.
  [[nodiscard]] virtual LoadReport load() const = 0;
  [[nodiscard]] virtual std::vector<HeldAttempt> held() const = 0;

 protected:
  /// Takes a request that isn't of the common ones.
  virtual void HandleWork(std::shared_ptr<HttpExchange> exchange) = 0;

  /// Frees what is held for `attempt`.
  virtual void Cancel(const HeldAttempt& attempt) = 0;

  void Record(RunEvent event);
  [[nodiscard]] const BackendOptions& options() const { return options_; }

 private:
  void AnswerHeld(HttpExchange& exchange) const;
  void TakeCancel(HttpExchange& exchange);
  void TakeOrder(HttpExchange& exchange);

  BackendOptions options_;
  RunRecorder* recorder_;
  OrderBook orders_;
  std::optional<TimePoint> leaving_since_;
};

/// Makes the backend of the role that the options name.
std::unique_ptr<FakeBackend> MakeFakeBackend(const BackendOptions& options,
                                             RunRecorder* recorder);

/// Reads the request id and attempt from an engine request's headers.
std::optional<HeldAttempt> ReadAttempt(const HttpExchange& exchange);

/// Answers with a problem.
void RespondProblem(HttpExchange& exchange,
                    int status,
                    std::string title,
                    Execution execution);

/// Answers with a JSON document.
void RespondJson(HttpExchange& exchange, std::string body);

}  // namespace briarlead

#endif  // FAKES_FAKE_BACKEND_H_
