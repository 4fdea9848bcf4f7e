#ifndef BRIARLEAD_FORWARD_SERVER_HEALTH_H_
#define BRIARLEAD_FORWARD_SERVER_HEALTH_H_

#include <algorithm>
#include <cstdint>
#include <string_view>

#include "briarlead_core/time.h"

namespace briarlead {

/// Result of sending a request to a backend server once, as far as it reflects
/// the health of the server.
enum class AttemptOutcome {
  kServed,
  kServerError,  ///< A complete 5xx response of the server itself.
  kRefused,      ///< The server reported that it did not run the request.
  kWrongServer,  ///< Another server now uses the address.
  kNotConnected,
  kBroken,      ///< The response was truncated or invalid.
  kTimedOut,    ///< The response did not start or continue in time.
  kWithdrawn,   ///< The caller disconnected; says nothing about the server.
  kNotRelayed,  ///< Another host did not pass the request on to the server.
};

/// Returns the name of `outcome` as it is written to logs.
std::string_view ToString(AttemptOutcome outcome);

/// Circuit breaker for one backend server, driven by this host's own traffic. A
/// failing server is ejected for a time that doubles with each consecutive
/// ejection. It then gets one request at a time until it serves one.
class ServerHealth {
 public:
  static constexpr Duration kFirstEjection = std::chrono::milliseconds(500);
  static constexpr Duration kMaxEjection = std::chrono::milliseconds(4000);
  /// Time for which a server that refused a request gets no further ones. It
  /// doubles with each further refusal in a row, up to kMaxFullPause.
  static constexpr Duration kFullPause = std::chrono::milliseconds(60);
  static constexpr Duration kMaxFullPause = std::chrono::milliseconds(1920);
  /// Consecutive failures on established connections after which a server is
  /// ejected. A failed connection ejects the server at once.
  static constexpr std::uint32_t kFailuresToEject = 2;
  /// Share of 5xx among recent responses from which a server is ejected.
  static constexpr double kErrorRateToEject = 0.6;

  /// Records an outcome; returns whether it ejected the server.
  bool OnOutcome(AttemptOutcome outcome, TimePoint now);

  /// Ends the ejection early; the server stays on probation.
  void EndEjection(TimePoint now) {
    ejected_until_ = std::min(ejected_until_, now);
  }

  /// Returns whether a request may be sent to the server while this host has
  /// `in_flight` requests on it.
  [[nodiscard]] bool Admits(std::uint32_t in_flight, TimePoint now) const;

  /// Returns until when the server gets no requests.
  [[nodiscard]] TimePoint ejected_until() const { return ejected_until_; }
  /// Returns whether the server has not served a request since its last
  /// ejection.
  [[nodiscard]] bool on_probation() const { return ejections_ > 0; }

 private:
  void Eject(TimePoint now);

  std::uint32_t failures_in_row_ = 0;
  std::uint32_t refusals_in_row_ = 0;
  std::uint32_t ejections_ = 0;
  double error_rate_ = 0;
  std::uint32_t responses_ = 0;
  TimePoint ejected_until_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_SERVER_HEALTH_H_
