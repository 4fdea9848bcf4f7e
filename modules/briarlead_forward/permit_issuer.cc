#include "briarlead_forward/permit_issuer.h"

#include <algorithm>

namespace briarlead {

namespace {

/// When a host that asked one that shares out nothing asks again.
constexpr Duration kNotOwnerDelay = std::chrono::milliseconds(200);

}  // namespace

SendPermitReply PermitIssuer::OnRequest(const SendPermitRequest& request,
                                        TimePoint now) {
  limits_.OnNotice(request.limit, now);
  const ServerIncarnation& server = request.limit.server;
  SendPermitReply reply;
  reply.number = request.number;
  reply.limit = limits_.NoticeOf(server, now);
  if (!limits_.IsLimited(server))
    return reply;
  const double share = owners_.ShareOf(server.id);
  if (share <= 0) {
    reply.next_in = kNotOwnerDelay;
    return reply;
  }
  const double rate = std::max(reply.limit.per_second, kMinRate) * share;
  reply.spacing = FromSeconds(1 / rate);
  const auto [found, is_new] =
      schedules_.try_emplace(server, Schedule{now + reply.spacing});
  Schedule& schedule = found->second;
  TimePoint& next = schedule.next_start;
  // A limit that has grown must not leave the host waiting for the old one.
  next = std::clamp(next, now, now + reply.spacing + kMaxAhead);
  reply.starts_in = next - now;
  const Duration within = std::min(request.within, kMaxAhead);
  const std::uint32_t wanted = std::min(request.wanted, kMaxGranted);
  while (reply.granted < wanted && next - now <= within) {
    ++reply.granted;
    next += reply.spacing;
  }
  schedule.refusals = reply.granted > 0 ? 0 : schedule.refusals + 1;
  const Duration pause =
      std::min(schedule.refusals * kNextInPerRefusal, kMaxNextIn);
  reply.next_in = std::max(next - now - within, pause);
  return reply;
}

void PermitIssuer::Expire() {
  std::erase_if(schedules_, [this](const auto& it) {
    return !limits_.IsLimited(it.first);
  });
}

}  // namespace briarlead
