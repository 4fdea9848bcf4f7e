// The part of GatewayProcess that exchanges and logs the speeds of engines.

#include <optional>
#include <string>

#include "briarlead_gateway/gateway_process.h"

namespace briarlead {

void GatewayProcess::SendEngineSpeeds(TimePoint now) {
  const std::optional<EngineSpeedReport> report =
      load_tracker_.speeds().TakeReport(now);
  if (!report.has_value())
    return;
  const std::string message = EncodeRoutingMessage(*report);
  for (const Endpoint& it : owners_.load_receivers())
    transport_->SendDatagram(it, Channel::kRouting, message);
}

void GatewayProcess::OnEngineSpeeds(const EngineSpeedReport& report,
                                    TimePoint now) {
  for (const EngineSpeedReport::Entry& it : report.engines) {
    const auto* found = directory_.Find(it.engine.id);
    if (found != nullptr && IncarnationOf(found->record) == it.engine)
      load_tracker_.NoteReported(found->record, it, now);
  }
}

void GatewayProcess::LogEngineSpeeds(TimePoint now) {
  EngineSpeeds& speeds = load_tracker_.speeds();
  speeds.RetainIf([this](const ServerIncarnation& it) {
    const auto* found = directory_.Find(it.id);
    return found != nullptr && IncarnationOf(found->record) == it;
  });
  for (const EngineSpeeds::Change& it : speeds.TakeChanges()) {
    logger_.Info(now, "engine_speed",
                 {{"engine", it.engine.id.value()},
                  {"kind", ToString(it.kind)},
                  {"tokens_per_second", it.after},
                  {"before", it.before}});
  }
}

}  // namespace briarlead
