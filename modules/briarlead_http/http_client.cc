#include "briarlead_http/http_client.h"

#include <utility>
#include <vector>

#include "briarlead_http/client_call.h"
#include "briarlead_net/loop_clock.h"

namespace briarlead {

namespace {

constexpr guint kSweepIntervalMs = 1000;

/// Aborts its call when the user lets go of it.
class CallHandle : public HttpCall {
 public:
  explicit CallHandle(std::shared_ptr<ClientCall> call)
      : call_(std::move(call)) {}
  ~CallHandle() override { call_->Abort(); }

  void PauseReading() override { call_->SetReading(false); }
  void ResumeReading() override { call_->SetReading(true); }
  [[nodiscard]] bool request_may_have_left() const override {
    return call_->request_may_have_left();
  }

 private:
  std::shared_ptr<ClientCall> call_;
};

/// Closes idle connections whose time is over, now and from time to time.
void SweepOften(ClientCalls& calls) {
  calls.pool.Sweep(LoopNow());
  calls.sweep_timer.StartTimer(kSweepIntervalMs,
                               [&calls] { SweepOften(calls); });
}

}  // namespace

HttpClient::HttpClient(const HttpClientOptions& options)
    : calls_(std::make_shared<ClientCalls>(options)) {
  SweepOften(*calls_);
}

HttpClient::~HttpClient() {
  std::vector<std::shared_ptr<ClientCall>> open;
  for (ClientCall* it : calls_->open)
    open.push_back(it->shared_from_this());
  for (const auto& it : open)
    it->Abort();
}

std::unique_ptr<HttpCall> HttpClient::Send(HttpRequest request,
                                           HttpCallHandler handler) {
  auto call = std::make_shared<ClientCall>(calls_, std::move(request),
                                           std::move(handler));
  call->Start(LoopNow());
  return std::make_unique<CallHandle>(std::move(call));
}

std::size_t HttpClient::active_calls() const {
  return calls_->open.size();
}

}  // namespace briarlead
