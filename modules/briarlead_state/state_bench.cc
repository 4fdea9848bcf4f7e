// Measures what the replicated state costs: time to apply, memory and snapshot
// size by number of records. Not a test; run it alone on a quiet machine.

#include <fmt/format.h>
#include <malloc.h>

#include <chrono>
#include <cstdint>
#include <string>

#include "briarlead_state/state_machine.h"

namespace briarlead {
namespace {

constexpr std::uint64_t kClaimCounts[] = {10'000, 60'000, 262'144};
constexpr std::uint64_t kChangeCounts[] = {1000, 31'000, 262'144};
constexpr std::size_t kBodyBytes = 200;
constexpr std::size_t kListBytes = 20'000;

using Clock = std::chrono::steady_clock;

double NanosecondsSince(Clock::time_point start) {
  return std::chrono::duration<double, std::nano>(Clock::now() - start).count();
}

std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// Applies commands that are encoded beforehand, one batch at a time, so that
/// encoding is not measured.
class Applier {
 public:
  void Apply(const StateCommandBody& body) {
    const std::string command = EncodeStateCommand({{1, index_}, body});
    log_bytes_ += command.size();
    const Clock::time_point start = Clock::now();
    machine_.Apply(++index_, command);
    nanoseconds_ += NanosecondsSince(start);
    ++count_;
  }

  /// Returns the mean size of a command since the last TakeMean().
  [[nodiscard]] double MeanBytes() const {
    return static_cast<double>(log_bytes_) / static_cast<double>(count_);
  }

  /// Returns the mean time of an Apply() since the last call.
  double TakeMean() {
    const double mean = nanoseconds_ / static_cast<double>(count_);
    nanoseconds_ = 0;
    log_bytes_ = 0;
    count_ = 0;
    return mean;
  }

  [[nodiscard]] const StateMachine& machine() const { return machine_; }

 private:
  StateMachine machine_;
  std::uint64_t index_ = 0;
  double nanoseconds_ = 0;
  std::uint64_t log_bytes_ = 0;
  std::uint64_t count_ = 0;
};

void ReportSnapshot(const StateMachine& machine, std::uint64_t records) {
  Clock::time_point start = Clock::now();
  const std::string snapshot = machine.EncodeSnapshot();
  const double encode = NanosecondsSince(start) / 1e6;
  StateMachine copy;
  start = Clock::now();
  const bool restored = copy.RestoreSnapshot(snapshot).has_value();
  const double restore = NanosecondsSince(start) / 1e6;
  fmt::print(
      "  snapshot {} bytes, {:.1f} a record, encode {:.0f} ms, "
      "restore {:.0f} ms, restored {}\n",
      snapshot.size(),
      static_cast<double>(snapshot.size()) / static_cast<double>(records),
      encode, restore, restored);
}

void MeasureClaims(std::uint64_t count) {
  const std::size_t before = HeapBytes();
  Applier applier;
  const auto key_of = [](std::uint64_t it) {
    return ClaimKey{CustomerId("dakshin-banga"),
                    fmt::format("7f3a9c1e-0000-4000-8000-{:012}", it)};
  };
  const auto attempt_of = [](std::uint64_t it) {
    return AttemptToken{HostId("howrah-e1"), 1, it};
  };
  for (std::uint64_t it = 0; it < count; ++it)
    applier.Apply(BeginClaim{key_of(it), {it, it}, attempt_of(it), 5000});
  const double begin_bytes = applier.MeanBytes();
  const double begin = applier.TakeMean();
  const std::size_t running = HeapBytes() - before;
  for (std::uint64_t it = 0; it < count; ++it) {
    applier.Apply(FinishClaim{
        key_of(it),
        {it, it},
        attempt_of(it),
        RunOutcome::kRan,
        {201, "application/json", std::string(kBodyBytes, 'x'), true}});
  }
  const double finish_bytes = applier.MeanBytes();
  const double finish = applier.TakeMean();
  const std::size_t finished = HeapBytes() - before;
  const auto per_claim = [count](std::size_t bytes) {
    return static_cast<double>(bytes) / static_cast<double>(count);
  };
  fmt::print(
      "claims {}: begin {:.0f} ns, finish {:.0f} ns, heap a claim {:.0f} "
      "bytes in progress, {:.0f} with a body of {}, counted {:.0f}\n",
      count, begin, finish, per_claim(running), per_claim(finished), kBodyBytes,
      per_claim(applier.machine().claims().bytes()));
  fmt::print("  log bytes: begin {:.0f}, finish {:.0f}\n", begin_bytes,
             finish_bytes);
  ReportSnapshot(applier.machine(), count);
}

void MeasureLists(std::uint64_t count) {
  const std::size_t before = HeapBytes();
  Applier applier;
  std::string plans(kListBytes, 'x');
  for (std::uint64_t it = 0; it < count; ++it) {
    plans.replace(0, 12, fmt::format("{:012}", it));
    applier.Apply(ApplyLists{it, std::nullopt, plans, "asha", "", it});
  }
  const std::size_t heap = HeapBytes() - before;
  fmt::print(
      "list changes {} of {} bytes: {:.0f} ns, heap a change {:.0f} "
      "bytes\n",
      count, kListBytes, applier.TakeMean(),
      static_cast<double>(heap) / static_cast<double>(count));
  ReportSnapshot(applier.machine(), count);
}

}  // namespace
}  // namespace briarlead

int main() {
  for (const std::uint64_t it : briarlead::kClaimCounts)
    briarlead::MeasureClaims(it);
  for (const std::uint64_t it : briarlead::kChangeCounts)
    briarlead::MeasureLists(it);
  return 0;
}
