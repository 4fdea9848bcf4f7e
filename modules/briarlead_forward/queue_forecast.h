#ifndef BRIARLEAD_FORWARD_QUEUE_FORECAST_H_
#define BRIARLEAD_FORWARD_QUEUE_FORECAST_H_

#include <chrono>
#include <cstddef>

#include "briarlead_core/time.h"

namespace briarlead {

/// Forecasts how long a request waits for an engine, from how long streams
/// last. Answers the load under which some requests can't be served in time:
/// those are refused at once, and told when to come back.
class QueueForecast {
 public:
  /// Number of streams over which their duration is averaged.
  static constexpr double kStreamWindow = 60;
  /// Duration of a stream as long as none has ended.
  static constexpr Duration kInitialStreamTime = std::chrono::seconds(3);

  /// Records that a stream ended after `took`, its prefill included.
  void OnStreamEnded(Duration took);

  /// Returns the wait of the request at `position`, from 1, of the queue while
  /// `streams` run.
  [[nodiscard]] Duration Wait(std::size_t position, std::size_t streams) const;

 private:
  double stream_seconds_ = ToSeconds(kInitialStreamTime);
  double ended_streams_ = 0;  ///< At most kStreamWindow.
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_QUEUE_FORECAST_H_
