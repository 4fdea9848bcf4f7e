#ifndef BRIARLEAD_GATEWAY_ENGINE_SPEED_METRICS_H_
#define BRIARLEAD_GATEWAY_ENGINE_SPEED_METRICS_H_

#include <cstddef>
#include <string>

#include "briarlead_placement/engine_speeds.h"

namespace briarlead {

/// Largest number of engines whose speeds are rendered: a page of metrics must
/// not grow with the fleet.
inline constexpr std::size_t kMaxRenderedEngines = 64;

/// Returns the learnt speeds of up to kMaxRenderedEngines engines in the
/// Prometheus text format, as briarlead_engine_speed in tokens per second.
std::string RenderEngineSpeeds(const EngineSpeeds& speeds);

}  // namespace briarlead

#endif  // BRIARLEAD_GATEWAY_ENGINE_SPEED_METRICS_H_
