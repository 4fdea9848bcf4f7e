#include "briarlead_dispatch/engine_health.h"

#include <algorithm>
#include <chrono>

namespace briarlead {
namespace {

constexpr Duration kFirstEjection = std::chrono::seconds(2);
constexpr Duration kMaxEjection = std::chrono::seconds(60);
constexpr std::uint32_t kMaxEjectionDoublings = 5;
constexpr Duration kSlowStart = std::chrono::seconds(5);
/// Share of its slots that a returning engine may use at once.
constexpr double kSlowStartFirstShare = 0.25;

}  // namespace

void EngineHealth::OnReturned(const BackendServerId& server, TimePoint now) {
  Engine engine;
  engine.returned_at = now;
  engines_[server] = engine;
}

void EngineHealth::OnSuccess(const BackendServerId& server, TimePoint now) {
  const auto it = engines_.find(server);
  if (it == engines_.end())
    return;
  Engine& engine = it->second;
  engine.consecutive_failures = 0;
  if (engine.probing && engine.ejected_until <= now)
    OnReturned(server, now);
}

void EngineHealth::OnFailure(const BackendServerId& server, TimePoint now) {
  Engine& engine = engines_[server];
  ++engine.consecutive_failures;
  const bool ejected_now = engine.ejected_until && *engine.ejected_until > now;
  if (ejected_now)
    return;
  if (!engine.probing && engine.consecutive_failures < kFailuresToEject)
    return;
  const std::uint32_t doublings =
      std::min(engine.ejections, kMaxEjectionDoublings);
  const Duration length =
      std::min(kFirstEjection * (1 << doublings), kMaxEjection);
  engine.ejected_until = now + length;
  engine.probing = true;
  engine.returned_at.reset();
  ++engine.ejections;
}

std::uint32_t EngineHealth::AllowedSlots(const BackendServerId& server,
                                         std::uint32_t slots,
                                         TimePoint now) const {
  const auto it = engines_.find(server);
  if (it == engines_.end())
    return slots;
  const Engine& engine = it->second;
  if (engine.ejected_until && *engine.ejected_until > now)
    return 0;
  if (engine.probing)
    return std::min(slots, 1U);
  if (!engine.returned_at)
    return slots;
  const double elapsed_share = std::clamp(
      ToSeconds(now - *engine.returned_at) / ToSeconds(kSlowStart), 0.0, 1.0);
  const double share =
      kSlowStartFirstShare + (1.0 - kSlowStartFirstShare) * elapsed_share;
  return std::clamp(static_cast<std::uint32_t>(slots * share), 1U,
                    std::max(slots, 1U));
}

bool EngineHealth::IsOnProbation(const BackendServerId& server) const {
  const auto it = engines_.find(server);
  return it != engines_.end() && it->second.probing;
}

std::optional<TimePoint> EngineHealth::NextProbe(TimePoint now) const {
  std::optional<TimePoint> next;
  for (const auto& [id, engine] : engines_) {
    if (!engine.ejected_until || *engine.ejected_until <= now)
      continue;
    next =
        next ? std::min(*next, *engine.ejected_until) : *engine.ejected_until;
  }
  return next;
}

}  // namespace briarlead
