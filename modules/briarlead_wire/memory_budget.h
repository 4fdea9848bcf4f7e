#ifndef BRIARLEAD_WIRE_MEMORY_BUDGET_H_
#define BRIARLEAD_WIRE_MEMORY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string_view>

#include "briarlead_core/time.h"

namespace briarlead {

/// What the counted bytes are held for.
enum class MemoryKind : std::uint8_t {
  kConnections,     ///< Connections of callers, with what they have not parsed.
  kRequests,        ///< Heads and bodies of callers' requests.
  kUnsent,          ///< Responses that callers have not taken.
  kResponseBodies,  ///< Bodies of servers that are forwarded as a whole.
  kServers,         ///< Connections to servers, with what waits on them.
};
inline constexpr std::size_t kMemoryKinds = 5;

/// Returns the name of `kind` as it appears in metrics.
std::string_view ToString(MemoryKind kind);

/// Why a request or a connection was refused or closed.
enum class MemoryRefusal : std::uint8_t {
  kLargeBody,       ///< No memory for a large body.
  kRequest,         ///< The budget is used up.
  kConnection,      ///< Too many connections, none of which could be closed.
  kIdleClosed,      ///< Closed to make room; no request was in progress.
  kUnreadResponse,  ///< Closed to make room; the response was not taken.
};
inline constexpr std::size_t kMemoryRefusals = 5;

/// Returns the name of `refusal` as it appears in metrics and logs.
std::string_view ToString(MemoryRefusal refusal);

/// What to do with a request whose body is being read.
enum class BodyDecision {
  kRead,    ///< Read on.
  kPause,   ///< Stop reading, ask again soon.
  kRefuse,  ///< Answer 503: not run.
};

/// Counts the bytes that a process holds for callers and servers, and decides
/// what is read while they are many. Not thread-safe; must outlive its users.
class MemoryBudget {
 public:
  /// Requests with a body of up to this size pass while the budget is not used
  /// up.
  static constexpr std::size_t kSmallBodyBytes = 64UL << 10;
  /// Budget of a host whose memory isn't known.
  static constexpr std::size_t kDefaultBytes = 48UL << 20;
  /// Longest wait for memory for a body. Callers that are refused sooner try
  /// another host.
  static constexpr Duration kLongestPause = std::chrono::milliseconds(1000);

  explicit MemoryBudget(std::size_t budget_bytes = kDefaultBytes)
      : budget_bytes_(budget_bytes) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /// Sets the budget: half of a host's memory, the default if it is 0.
  void SetHostMemory(std::uint32_t memory_mb);

  /// Changes the bytes of `kind` from `before` to `now`.
  void Change(MemoryKind kind, std::size_t before, std::size_t now) {
    by_kind_[static_cast<std::size_t>(kind)] += now - before;
    total_bytes_ += now - before;
  }
  void CountRefusal(MemoryRefusal refusal) {
    ++refused_[static_cast<std::size_t>(refusal)];
  }

  /// Decides on a request for whose body `held` bytes are counted and `wanted`
  /// are needed, more than before. `ticket` is of Wait(), with `waited` as the
  /// time since; 0 for a request that hasn't waited.
  [[nodiscard]] BodyDecision OnBody(std::size_t held,
                                    std::size_t wanted,
                                    std::uint64_t ticket,
                                    Duration waited) const;
  /// Adds a body that waits for memory; those that waited longest go first.
  std::uint64_t Wait() {
    waiting_.insert(++last_ticket_);
    return last_ticket_;
  }
  void EndWait(std::uint64_t ticket) { waiting_.erase(ticket); }
  /// Returns whether `n` bytes more of a server's response may be buffered.
  [[nodiscard]] bool HasRoomForResponse(std::size_t n) const {
    return total_bytes_ + n <= LargeLimit();
  }
  /// Returns whether large bodies have to wait, and responses that callers
  /// don't take are a large part of the reason.
  [[nodiscard]] bool UnsentIsInTheWay() const {
    return total_bytes_ > budget_bytes_ / 2 &&
           bytes(MemoryKind::kUnsent) > budget_bytes_ / 4;
  }
  /// Returns whether the budget is used up: connections that can be closed
  /// without harm are to be closed.
  [[nodiscard]] bool IsOver() const { return total_bytes_ > budget_bytes_; }

  [[nodiscard]] std::size_t budget_bytes() const { return budget_bytes_; }
  [[nodiscard]] std::size_t total_bytes() const { return total_bytes_; }
  [[nodiscard]] std::size_t bytes(MemoryKind kind) const {
    return by_kind_[static_cast<std::size_t>(kind)];
  }
  [[nodiscard]] std::uint64_t refused(MemoryRefusal refusal) const {
    return refused_[static_cast<std::size_t>(refusal)];
  }

 private:
  /// Returns up to what total large bodies are taken. The rest is for small
  /// requests and responses.
  [[nodiscard]] std::size_t LargeLimit() const { return budget_bytes_ / 4 * 3; }

  std::size_t budget_bytes_;
  std::uint64_t last_ticket_ = 0;
  std::set<std::uint64_t> waiting_;
  std::size_t total_bytes_ = 0;
  std::array<std::size_t, kMemoryKinds> by_kind_{};
  std::array<std::uint64_t, kMemoryRefusals> refused_{};
};

/// Sets the allocator of this process up so that large blocks are returned to
/// the system when they are freed: the memory of the process then follows what
/// it holds.
void KeepHeapCompact();

/// The bytes that one holder accounts for; returned at its end.
class MemoryAccount {
 public:
  /// `budget` may be null: then nothing is counted.
  MemoryAccount(MemoryBudget* budget, MemoryKind kind)
      : budget_(budget), kind_(kind) {}
  ~MemoryAccount() { Set(0); }
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  void Set(std::size_t bytes) {
    if (bytes == bytes_)
      return;
    if (budget_ != nullptr)
      budget_->Change(kind_, bytes_, bytes);
    bytes_ = bytes;
  }
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

 private:
  MemoryBudget* budget_;
  MemoryKind kind_;
  std::size_t bytes_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_WIRE_MEMORY_BUDGET_H_
