// The part of ForwardFlow that resumes a stream which an earlier attempt of the
// caller began.

#include <algorithm>

#include "briarlead_forward/forward_flow.h"

namespace briarlead {

bool ForwardFlow::IsResumption() const {
  return route_.kind == RouteKind::kStream && route_.resumable &&
         facts_.last_event_id.has_value();
}

void ForwardFlow::Resume(TimePoint now) {
  if (RefuseByAccount(now))
    return;
  std::optional<ServiceVersion> origin = KnownOrigin();
  if (origin.has_value()) {
    ResumeAt(*origin, now);
  } else if (facts_.resumed_attempt.empty()) {
    RefuseUnknownOrigin(now);
  } else {
    finding_origin_ = true;
    Emit(AskForStreamOrigin{stream_});
  }
}

std::optional<ServiceVersion> ForwardFlow::KnownOrigin() const {
  std::optional<ServiceVersion> origin;
  if (!facts_.resumed_attempt.empty())
    origin = context_.origins.Find(stream_);
  if (origin.has_value())
    return origin;
  const std::optional<SoftwareVersion> sole =
      context_.origins.SoleVersion(route_.services, service_);
  if (sole.has_value())
    origin = {service_, *sole};
  return origin;
}

void ForwardFlow::OnStreamOrigin(const std::optional<ServiceVersion>& origin,
                                 TimePoint now) {
  if (done_ || !finding_origin_)
    return;
  finding_origin_ = false;
  const std::optional<ServiceVersion> found =
      origin.has_value() ? origin : KnownOrigin();
  if (found.has_value())
    ResumeAt(*found, now);
  else
    RefuseUnknownOrigin(now);
}

void ForwardFlow::ResumeAt(const ServiceVersion& origin, TimePoint now) {
  const bool is_routed =
      std::any_of(route_.services.begin(), route_.services.end(),
                  [&](const WeightedService& it) {
                    return it.service == origin.service && it.weight > 0;
                  });
  if (!is_routed) {
    RefuseUnknownOrigin(now);
    return;
  }
  service_ = origin.service;
  routed_service_ = table_->FindService(service_);
  software_ = origin.software;
  produced_tokens_ = TokensBefore();
  context_.origins.OnBegun(stream_, origin, now);
  Send(now);
}

std::uint32_t ForwardFlow::TokensBefore() const {
  if (routed_service_ == nullptr || !routed_service_->engine.has_value())
    return 0;
  const std::uint64_t per_event = routed_service_->engine->tokens_per_event;
  const std::uint64_t events = *facts_.last_event_id;
  const std::uint64_t most = facts_.max_output_tokens;
  const bool fits = per_event == 0 || events <= most / per_event;
  return static_cast<std::uint32_t>(fits ? events * per_event : most);
}

void ForwardFlow::RefuseUnknownOrigin(TimePoint now) {
  retry_after_ = kRetryAfterUnknownOrigin;
  GiveUp("stream_origin_unknown", now);
}

}  // namespace briarlead
