#ifndef BRIARLEAD_FORWARD_SERVER_HEALTH_H_
#define BRIARLEAD_FORWARD_SERVER_HEALTH_H_

#include <algorithm>
#include <cstdint>
#include <string_view>

#include "briarlead_core/time.h"

namespace briarlead {

/// How one send to a backend server came out, as far as it tells of the server.
enum class AttemptOutcome {
  kServed,
  kServerError,  ///< A complete 5xx response of its own.
  kRefused,      ///< It said that it did not run the request.
  kWrongServer,  ///< Another server has its address.
  kNotConnected,
  kBroken,     ///< The response broke off or was not readable.
  kTimedOut,   ///< No response, or no further part, in the time allowed.
  kWithdrawn,  ///< The caller went; tells nothing of the server.
};

/// Returns the name of `outcome` as it appears in logs.
std::string_view ToString(AttemptOutcome outcome);

/// Health of one backend server as this host's own traffic shows it. A server
/// that fails is left alone for a time that doubles with each failure in a row,
/// then gets one request at a time until one is served.
class ServerHealth {
 public:
  static constexpr Duration kFirstEjection = std::chrono::milliseconds(500);
  static constexpr Duration kLongestEjection = std::chrono::milliseconds(4000);
  /// Time for which a server that was full gets nothing.
  static constexpr Duration kFullPause = std::chrono::milliseconds(60);
  /// Failures in a row after which a server is ejected, where the connection
  /// itself was good.
  static constexpr std::uint32_t kFailuresToEject = 2;
  /// Share of errors among recent responses above which a server is ejected.
  static constexpr double kErrorShareToEject = 0.6;

  /// Takes an outcome; returns whether it ejected the server.
  bool OnOutcome(AttemptOutcome outcome, TimePoint now);

  /// What it was ejected for is over: it gets one request at a time.
  void EndEjection(TimePoint now) {
    ejected_until_ = std::min(ejected_until_, now);
  }

  /// Returns whether requests may be sent to it; `in_flight` of this host.
  [[nodiscard]] bool Admits(std::uint32_t in_flight, TimePoint now) const;

  /// Returns until when it is left alone.
  [[nodiscard]] TimePoint ejected_until() const { return ejected_until_; }
  /// Returns whether it must serve a request before it is trusted again.
  [[nodiscard]] bool on_probation() const { return ejections_ > 0; }

 private:
  void Eject(TimePoint now);

  std::uint32_t failures_in_row_ = 0;
  std::uint32_t ejections_ = 0;
  double error_share_ = 0;
  std::uint32_t responses_ = 0;
  TimePoint ejected_until_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_SERVER_HEALTH_H_
