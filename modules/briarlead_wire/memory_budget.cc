#include "briarlead_wire/memory_budget.h"

#include <malloc.h>

namespace briarlead {

namespace {

/// Smallest block that is mapped by itself. Set explicitly, as the allocator
/// raises it otherwise when such a block is freed, and blocks of megabytes then
/// leave gaps in the heap.
constexpr int kLargeBlockBytes = 128 << 10;
/// Free memory that is kept at the end of the heap.
constexpr int kFreeHeapBytes = 1 << 20;

}  // namespace

std::string_view ToString(MemoryKind kind) {
  switch (kind) {
    case MemoryKind::kConnections:
      return "connections";
    case MemoryKind::kRequests:
      return "requests";
    case MemoryKind::kUnsent:
      return "unsent";
    case MemoryKind::kResponseBodies:
      return "response_bodies";
    case MemoryKind::kServers:
      return "servers";
  }
  return "unknown";
}

std::string_view ToString(MemoryRefusal refusal) {
  switch (refusal) {
    case MemoryRefusal::kLargeBody:
      return "large_body";
    case MemoryRefusal::kRequest:
      return "request";
    case MemoryRefusal::kConnection:
      return "connection";
    case MemoryRefusal::kIdleClosed:
      return "idle_closed";
    case MemoryRefusal::kUnreadResponse:
      return "unread_response";
  }
  return "unknown";
}

void KeepHeapCompact() {
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kFreeHeapBytes);
}

void MemoryBudget::SetHostMemory(std::uint32_t memory_mb) {
  budget_bytes_ = memory_mb == 0
                      ? kDefaultBytes
                      : (static_cast<std::size_t>(memory_mb) << 20) / 2;
}

BodyDecision MemoryBudget::OnBody(std::size_t held,
                                  std::size_t wanted,
                                  std::uint64_t ticket,
                                  Duration waited) const {
  if (wanted <= kSmallBodyBytes)
    return IsOver() ? BodyDecision::kRefuse : BodyDecision::kRead;
  const std::size_t n = wanted - held;
  const std::size_t limit = LargeLimit();
  const bool is_first = waiting_.empty() || *waiting_.begin() == ticket;
  if (is_first && total_bytes_ + n <= limit)
    return BodyDecision::kRead;
  if (wanted > limit || IsOver() || waited >= kLongestPause)
    return BodyDecision::kRefuse;
  return BodyDecision::kPause;
}

}  // namespace briarlead
