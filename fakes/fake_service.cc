#include "fakes/fake_service.h"

#include <utility>

#include "briarlead_http/json_access.h"

namespace briarlead {

LoadReport FakeService::load() const {
  return {.running = static_cast<std::uint32_t>(runs_.size()),
          .waiting = static_cast<std::uint32_t>(waiting_.size())};
}

void FakeService::HandleWork(std::shared_ptr<HttpExchange> exchange) {
  waiting_.push_back(std::move(exchange));
  StartNext();
}

void FakeService::StartNext() {
  while (runs_.size() < options().slots && !waiting_.empty()) {
    const auto exchange = std::move(waiting_.front());
    waiting_.pop_front();
    if (exchange->gone())
      continue;
    Run& run = runs_.emplace_back();
    run.exchange = exchange;
    run.answer = RunOnce(*exchange);
    const auto it = std::prev(runs_.end());
    run.timer.StartOnce(options().answer_time, [this, it] {
      const auto answered = std::move(it->exchange);
      std::string answer = std::move(it->answer);
      runs_.erase(it);
      RespondJson(*answered, std::move(answer));
      StartNext();
    });
  }
}

std::string FakeService::RunOnce(const HttpExchange& exchange) {
  nlohmann::json answer = {{"server", options().id}, {"path", exchange.path()}};
  if (exchange.method() == "GET")
    return DumpJson(answer);
  const std::string key(exchange.Header("Idempotency-Key").value_or(""));
  ++bookings_;
  Record({.event = "run",
          .key = key,
          .body = std::string(exchange.body()),
          .number = bookings_});
  answer["booking"] = options().id + "-" + std::to_string(bookings_);
  answer["key"] = key;
  return DumpJson(answer);
}

}  // namespace briarlead
