#include "bench/fake_prefill_engine.h"

#include <algorithm>

namespace briarlead::bench {
namespace {

constexpr std::uint32_t kChunkTokens = 1024;

}  // namespace

void FakePrefillEngine::Start(AttemptKey key, Rank rank, std::uint32_t tokens) {
  if (!alive_)
    return;
  jobs_.push_back({key, rank, tokens, 0});
  if (!running_)
    RunChunk();
}

std::uint32_t FakePrefillEngine::Cancel(AttemptKey key) {
  const auto it =
      std::find_if(jobs_.begin(), jobs_.end(),
                   [key](const Job& job) { return job.key == key; });
  if (it == jobs_.end())
    return 0;
  const std::uint32_t read = it->read;
  jobs_.erase(it);
  return read;
}

void FakePrefillEngine::Kill() {
  alive_ = false;
  jobs_.clear();
}

void FakePrefillEngine::RunChunk() {
  running_ = false;
  if (jobs_.empty() || !alive_)
    return;
  running_ = true;
  const auto next = std::min_element(
      jobs_.begin(), jobs_.end(),
      [](const Job& a, const Job& b) { return a.rank < b.rank; });
  const AttemptKey key = next->key;
  const std::uint32_t tokens = std::min(next->left, kChunkTokens);
  loop_.After(FromSeconds(tokens / tokens_per_second_), [this, key, tokens] {
    tokens_read_ += tokens;
    const auto it =
        std::find_if(jobs_.begin(), jobs_.end(),
                     [key](const Job& job) { return job.key == key; });
    if (it != jobs_.end()) {
      it->left -= tokens;
      it->read += tokens;
      if (it->left == 0) {
        jobs_.erase(it);
        on_done_(key);
      }
    }
    RunChunk();
  });
}

}  // namespace briarlead::bench
