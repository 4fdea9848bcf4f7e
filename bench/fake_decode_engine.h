#ifndef BENCH_FAKE_DECODE_ENGINE_H_
#define BENCH_FAKE_DECODE_ENGINE_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "bench/event_loop.h"
#include "bench/fake_prefill_engine.h"
#include "briarlead_core/rank.h"

namespace briarlead::bench {

/// Speed of a decode engine and of its share of the link.
struct DecodeSpeed {
  std::uint32_t slots = 16;
  double step_base_seconds = 0.020;
  double step_per_request_seconds = 0.0015;
  double link_bytes_per_second = 4e9;

  /// Returns the tokens a second of a full engine.
  [[nodiscard]] double TokensPerSecond() const {
    return slots / (step_base_seconds + step_per_request_seconds * slots);
  }
};

/// What an engine gets of one attempt.
struct DecodeOffer {
  AttemptKey key = 0;
  Rank rank = Rank::kPatient;
  double kv_bytes = 0.0;
  TimePoint kv_expires;
  std::uint32_t tokens = 0;  ///< To generate.
};

/// Runs up to `slots` requests in one batch, a token each a step. Pulls the KV
/// cache through its link, which running transfers share evenly. Offers wait
/// for a slot, urgent ones first, until their KV cache expires.
class FakeDecodeEngine {
 public:
  /// Called for each token; `last` with the final one.
  using OnToken = std::function<void(AttemptKey, bool last)>;
  using OnExpired = std::function<void(AttemptKey)>;

  FakeDecodeEngine(EventLoop& loop,
                   const DecodeSpeed& speed,
                   OnToken on_token,
                   OnExpired on_expired)
      : loop_(loop),
        speed_(speed),
        on_token_(std::move(on_token)),
        on_expired_(std::move(on_expired)) {}

  void Offer(const DecodeOffer& offer);
  void Cancel(AttemptKey key);

  /// The process dies: what it held is lost. Returns its attempts.
  std::vector<AttemptKey> Kill();

  /// The link moves nothing until `until`.
  void StallLink(TimePoint until);

  [[nodiscard]] bool alive() const { return alive_; }
  [[nodiscard]] std::size_t held() const {
    return waiting_.size() + transfers_.size() + batch_.size();
  }
  /// Returns what it holds, for its report.
  [[nodiscard]] std::vector<AttemptKey> Held() const;

 private:
  struct Transfer {
    DecodeOffer offer;
    double bytes_left = 0.0;
  };

  void AdmitWaiting();
  void MoveBytes();
  void ScheduleTransfer();
  void RunStep();
  void ExpireLater(const DecodeOffer& offer);

  EventLoop& loop_;
  DecodeSpeed speed_;
  OnToken on_token_;
  OnExpired on_expired_;
  std::vector<DecodeOffer> waiting_;
  std::vector<Transfer> transfers_;
  std::vector<DecodeOffer> batch_;
  TimePoint moved_until_;
  TimePoint stalled_until_;
  std::uint64_t transfer_plan_ = 0;
  bool stepping_ = false;
  bool alive_ = true;
};

}  // namespace briarlead::bench

#endif  // BENCH_FAKE_DECODE_ENGINE_H_
