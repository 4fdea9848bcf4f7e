#include "bench/fake_decode_engine.h"

#include <algorithm>

namespace briarlead::bench {
namespace {

constexpr double kDoneBytes = 1.0;

}  // namespace

void FakeDecodeEngine::Offer(const DecodeOffer& offer) {
  if (!alive_)
    return;
  waiting_.push_back(offer);
  ExpireLater(offer);
  AdmitWaiting();
}

void FakeDecodeEngine::ExpireLater(const DecodeOffer& offer) {
  const AttemptKey key = offer.key;
  loop_.At(offer.kv_expires, [this, key] {
    const auto is_key = [key](const DecodeOffer& it) { return it.key == key; };
    const bool waits =
        std::any_of(waiting_.begin(), waiting_.end(), is_key) ||
        std::any_of(transfers_.begin(), transfers_.end(),
                    [key](const Transfer& it) { return it.offer.key == key; });
    if (!waits)
      return;
    Cancel(key);
    on_expired_(key);
  });
}

void FakeDecodeEngine::AdmitWaiting() {
  MoveBytes();
  while (!waiting_.empty() &&
         transfers_.size() + batch_.size() < speed_.slots) {
    const auto next =
        std::min_element(waiting_.begin(), waiting_.end(),
                         [](const DecodeOffer& a, const DecodeOffer& b) {
                           return a.rank < b.rank;
                         });
    transfers_.push_back({*next, next->kv_bytes});
    waiting_.erase(next);
  }
  ScheduleTransfer();
}

void FakeDecodeEngine::MoveBytes() {
  const TimePoint now = loop_.now();
  const TimePoint from = std::max(moved_until_, stalled_until_);
  moved_until_ = now;
  if (transfers_.empty() || now <= from)
    return;
  const double each = ToSeconds(now - from) * speed_.link_bytes_per_second /
                      static_cast<double>(transfers_.size());
  for (Transfer& it : transfers_)
    it.bytes_left -= each;
  for (const Transfer& it : transfers_) {
    if (it.bytes_left <= kDoneBytes)
      batch_.push_back(it.offer);
  }
  std::erase_if(transfers_,
                [](const Transfer& it) { return it.bytes_left <= kDoneBytes; });
  if (!stepping_ && !batch_.empty())
    RunStep();
}

void FakeDecodeEngine::ScheduleTransfer() {
  const std::uint64_t plan = ++transfer_plan_;
  if (transfers_.empty())
    return;
  double least = transfers_.front().bytes_left;
  for (const Transfer& it : transfers_)
    least = std::min(least, it.bytes_left);
  const double seconds = std::max(least, 0.0) *
                         static_cast<double>(transfers_.size()) /
                         speed_.link_bytes_per_second;
  const TimePoint start = std::max(loop_.now(), stalled_until_);
  loop_.At(start + FromSeconds(seconds) + Duration(1), [this, plan] {
    if (plan == transfer_plan_)
      AdmitWaiting();
  });
}

void FakeDecodeEngine::StallLink(TimePoint until) {
  MoveBytes();
  stalled_until_ = until;
  ScheduleTransfer();
}

void FakeDecodeEngine::Cancel(AttemptKey key) {
  const auto is_key = [key](const DecodeOffer& it) { return it.key == key; };
  MoveBytes();
  std::erase_if(waiting_, is_key);
  std::erase_if(batch_, is_key);
  std::erase_if(transfers_,
                [key](const Transfer& it) { return it.offer.key == key; });
  AdmitWaiting();
}

std::vector<AttemptKey> FakeDecodeEngine::Held() const {
  std::vector<AttemptKey> keys;
  for (const DecodeOffer& it : waiting_)
    keys.push_back(it.key);
  for (const Transfer& it : transfers_)
    keys.push_back(it.offer.key);
  for (const DecodeOffer& it : batch_)
    keys.push_back(it.key);
  return keys;
}

std::vector<AttemptKey> FakeDecodeEngine::Kill() {
  std::vector<AttemptKey> lost = Held();
  alive_ = false;
  waiting_.clear();
  transfers_.clear();
  batch_.clear();
  return lost;
}

void FakeDecodeEngine::RunStep() {
  stepping_ = false;
  if (batch_.empty() || !alive_)
    return;
  stepping_ = true;
  const double seconds =
      speed_.step_base_seconds +
      speed_.step_per_request_seconds * static_cast<double>(batch_.size());
  std::vector<AttemptKey> in_step;
  for (const DecodeOffer& it : batch_)
    in_step.push_back(it.key);
  loop_.After(FromSeconds(seconds), [this, in_step] {
    for (const AttemptKey key : in_step) {
      const auto it = std::find_if(
          batch_.begin(), batch_.end(),
          [key](const DecodeOffer& offer) { return offer.key == key; });
      if (it == batch_.end())
        continue;
      const bool last = --it->tokens == 0;
      if (last)
        batch_.erase(it);
      on_token_(key, last);
    }
    AdmitWaiting();
    RunStep();
  });
}

}  // namespace briarlead::bench
