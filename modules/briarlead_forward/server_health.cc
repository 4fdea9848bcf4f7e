#include "briarlead_forward/server_health.h"

#include <algorithm>

namespace briarlead {

namespace {

/// Weight of the newest response in the moving average of the error rate.
constexpr double kErrorRateWeight = 0.15;
/// Minimum number of responses before the error rate can eject a server.
constexpr std::uint32_t kMinResponses = 8;
constexpr std::uint32_t kMaxDoublings = 4;
constexpr std::uint32_t kMaxFullDoublings = 5;

}  // namespace

std::string_view ToString(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kServed:
      return "served";
    case AttemptOutcome::kServerError:
      return "server_error";
    case AttemptOutcome::kRefused:
      return "refused";
    case AttemptOutcome::kWrongServer:
      return "wrong_server";
    case AttemptOutcome::kNotConnected:
      return "not_connected";
    case AttemptOutcome::kBroken:
      return "broken";
    case AttemptOutcome::kTimedOut:
      return "timed_out";
    case AttemptOutcome::kWithdrawn:
      return "withdrawn";
    case AttemptOutcome::kNotRelayed:
      return "not_relayed";
  }
  return "unknown";
}

bool ServerHealth::OnOutcome(AttemptOutcome outcome, TimePoint now) {
  switch (outcome) {
    case AttemptOutcome::kWithdrawn:
    case AttemptOutcome::kWrongServer:
    case AttemptOutcome::kNotRelayed:
      return false;
    case AttemptOutcome::kRefused: {
      const Duration pause =
          kFullPause * (1 << std::min(refusals_in_row_, kMaxFullDoublings));
      ejected_until_ =
          std::max(ejected_until_, now + std::min(pause, kMaxFullPause));
      ++refusals_in_row_;
      return false;
    }
    case AttemptOutcome::kServed:
    case AttemptOutcome::kServerError: {
      const double error = outcome == AttemptOutcome::kServerError ? 1 : 0;
      error_rate_ += kErrorRateWeight * (error - error_rate_);
      ++responses_;
      failures_in_row_ = 0;
      refusals_in_row_ = 0;
      if (error == 0)
        ejections_ = 0;
      if (responses_ < kMinResponses || error_rate_ < kErrorRateToEject)
        return false;
      responses_ = 0;
      error_rate_ = 0;
      Eject(now);
      return true;
    }
    case AttemptOutcome::kNotConnected:
    case AttemptOutcome::kBroken:
    case AttemptOutcome::kTimedOut:
      break;
  }
  ++failures_in_row_;
  const bool eject_at_once =
      outcome == AttemptOutcome::kNotConnected || ejections_ > 0;
  if (!eject_at_once && failures_in_row_ < kFailuresToEject)
    return false;
  Eject(now);
  return true;
}

bool ServerHealth::Admits(std::uint32_t in_flight, TimePoint now) const {
  if (now < ejected_until_)
    return false;
  return ejections_ == 0 || in_flight == 0;
}

void ServerHealth::Eject(TimePoint now) {
  if (now < ejected_until_ && ejections_ > 0)
    return;
  const Duration time =
      std::min(kMaxEjection,
               kFirstEjection * (1 << std::min(ejections_, kMaxDoublings)));
  ejected_until_ = now + time;
  ++ejections_;
}

}  // namespace briarlead
