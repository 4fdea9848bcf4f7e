#include "briarlead_forward/queue_forecast.h"

#include <algorithm>

namespace briarlead {

void QueueForecast::OnStreamEnded(Duration took) {
  ended_streams_ = std::min(ended_streams_ + 1, kStreamWindow);
  stream_seconds_ += (ToSeconds(took) - stream_seconds_) / ended_streams_;
}

Duration QueueForecast::Wait(std::size_t position, std::size_t streams) const {
  // While the engines are full, as many streams end in a second as run, divided
  // by how long each lasts.
  const double running = static_cast<double>(std::max<std::size_t>(streams, 1));
  return FromSeconds(static_cast<double>(position) * stream_seconds_ / running);
}

}  // namespace briarlead
