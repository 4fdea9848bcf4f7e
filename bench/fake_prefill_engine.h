#ifndef BENCH_FAKE_PREFILL_ENGINE_H_
#define BENCH_FAKE_PREFILL_ENGINE_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "bench/event_loop.h"
#include "briarlead_core/rank.h"

namespace briarlead::bench {

/// Names one attempt of one request.
using AttemptKey = std::uint64_t;

/// Reads prompts chunk by chunk; urgent ones go first at chunk borders.
class FakePrefillEngine {
 public:
  using OnDone = std::function<void(AttemptKey)>;

  FakePrefillEngine(EventLoop& loop, double tokens_per_second, OnDone on_done)
      : loop_(loop),
        tokens_per_second_(tokens_per_second),
        on_done_(std::move(on_done)) {}

  void Start(AttemptKey key, Rank rank, std::uint32_t tokens);

  /// Drops an attempt; returns the tokens that it had read.
  std::uint32_t Cancel(AttemptKey key);

  /// The process dies: what it ran is lost.
  void Kill();

  [[nodiscard]] bool alive() const { return alive_; }
  /// Returns the tokens read so far, for all attempts.
  [[nodiscard]] std::uint64_t tokens_read() const { return tokens_read_; }

 private:
  struct Job {
    AttemptKey key = 0;
    Rank rank = Rank::kPatient;
    std::uint32_t left = 0;
    std::uint32_t read = 0;
  };

  void RunChunk();

  EventLoop& loop_;
  double tokens_per_second_;
  OnDone on_done_;
  std::vector<Job> jobs_;
  bool running_ = false;
  bool alive_ = true;
  std::uint64_t tokens_read_ = 0;
};

}  // namespace briarlead::bench

#endif  // BENCH_FAKE_PREFILL_ENGINE_H_
