// Benchmark of the replicated state: time per applied command, heap size and
// snapshot size, for several numbers of records. Run it on an otherwise idle
// machine.

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
constexpr std::size_t kAnswerBodyBytes = 200;
constexpr std::size_t kListBytes = 20'000;

using Clock = std::chrono::steady_clock;

double NanosecondsSince(Clock::time_point start) {
  return std::chrono::duration<double, std::nano>(Clock::now() - start).count();
}

std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// Applies commands and measures the time. Each command is encoded before the
/// measurement starts.
class TimedStateMachine {
 public:
  void Apply(const StateCommandBody& body) {
    const std::string command = EncodeStateCommand({{1, index_}, body});
    log_bytes_ += command.size();
    const Clock::time_point start = Clock::now();
    machine_.Apply(++index_, command);
    nanoseconds_ += NanosecondsSince(start);
    ++count_;
  }

  /// Returns the mean size of a command, in bytes, since the last
  /// TakeMeanNanoseconds().
  [[nodiscard]] double MeanCommandBytes() const {
    return static_cast<double>(log_bytes_) / static_cast<double>(count_);
  }

  /// Returns the mean time of an Apply() since the last call of this function.
  double TakeMeanNanoseconds() {
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
  const double encode_ms = NanosecondsSince(start) / 1e6;
  StateMachine copy;
  start = Clock::now();
  const bool restored = copy.RestoreSnapshot(snapshot).has_value();
  const double restore_ms = NanosecondsSince(start) / 1e6;
  fmt::print(
      "  snapshot {} bytes, {:.1f} a record, encode {:.0f} ms, "
      "restore {:.0f} ms, restored {}\n",
      snapshot.size(),
      static_cast<double>(snapshot.size()) / static_cast<double>(records),
      encode_ms, restore_ms, restored);
}

void MeasureClaims(std::uint64_t count) {
  const std::size_t heap_before = HeapBytes();
  TimedStateMachine timed;
  const auto key_of = [](std::uint64_t i) {
    return ClaimKey{CustomerId("dakshin-banga"),
                    fmt::format("7f3a9c1e-0000-4000-8000-{:012}", i)};
  };
  const auto attempt_of = [](std::uint64_t i) {
    return AttemptToken{HostId("howrah-e1"), 1, i};
  };
  for (std::uint64_t i = 0; i < count; ++i)
    timed.Apply(BeginClaim{key_of(i), {i, i}, attempt_of(i), 5000});
  const double begin_bytes = timed.MeanCommandBytes();
  const double begin_ns = timed.TakeMeanNanoseconds();
  const std::size_t running_heap = HeapBytes() - heap_before;
  for (std::uint64_t i = 0; i < count; ++i) {
    timed.Apply(FinishClaim{
        key_of(i),
        {i, i},
        attempt_of(i),
        RunOutcome::kRan,
        {201, "application/json", std::string(kAnswerBodyBytes, 'x'), true}});
  }
  const double finish_bytes = timed.MeanCommandBytes();
  const double finish_ns = timed.TakeMeanNanoseconds();
  const std::size_t finished_heap = HeapBytes() - heap_before;
  const auto per_claim = [count](std::size_t bytes) {
    return static_cast<double>(bytes) / static_cast<double>(count);
  };
  fmt::print(
      "claims {}: begin {:.0f} ns, finish {:.0f} ns, heap a claim {:.0f} "
      "bytes in progress, {:.0f} with a body of {}, counted {:.0f}\n",
      count, begin_ns, finish_ns, per_claim(running_heap),
      per_claim(finished_heap), kAnswerBodyBytes,
      per_claim(timed.machine().claims().bytes()));
  fmt::print("  log bytes: begin {:.0f}, finish {:.0f}\n", begin_bytes,
             finish_bytes);
  ReportSnapshot(timed.machine(), count);
}

void MeasureLists(std::uint64_t count) {
  const std::size_t heap_before = HeapBytes();
  TimedStateMachine timed;
  std::string plans(kListBytes, 'x');
  for (std::uint64_t i = 0; i < count; ++i) {
    plans.replace(0, 12, fmt::format("{:012}", i));
    timed.Apply(ApplyLists{i, std::nullopt, plans, "asha", "", i});
  }
  const std::size_t heap = HeapBytes() - heap_before;
  fmt::print(
      "list changes {} of {} bytes: {:.0f} ns, heap a change {:.0f} "
      "bytes\n",
      count, kListBytes, timed.TakeMeanNanoseconds(),
      static_cast<double>(heap) / static_cast<double>(count));
  ReportSnapshot(timed.machine(), count);
}

}  // namespace
}  // namespace briarlead

int main() {
  for (const std::uint64_t count : briarlead::kClaimCounts)
    briarlead::MeasureClaims(count);
  for (const std::uint64_t count : briarlead::kChangeCounts)
    briarlead::MeasureLists(count);
  return 0;
}
