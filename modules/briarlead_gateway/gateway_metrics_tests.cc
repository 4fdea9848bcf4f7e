#include "briarlead_gateway/gateway_metrics.h"

// After everything that uses the global operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {

TEST_GROUP(GatewayMetrics) {
  GatewayMetrics metrics_;

  bool Shows(std::string_view line) {
    return metrics_.Render({}).find(std::string(line) + "\n") !=
           std::string::npos;
  }
};

TEST(GatewayMetrics, ResponsesAreCountedByOriginAndStatus) {
  metrics_.OnAnswered(200, true, std::chrono::milliseconds(20), {});
  metrics_.OnAnswered(500, true, std::chrono::milliseconds(20), {});
  metrics_.OnAnswered(503, false, std::chrono::milliseconds(1), {});
  metrics_.OnAnswered(504, false, std::chrono::seconds(1), {});
  metrics_.OnAnswered(0, false, std::chrono::seconds(1), {});
  CHECK(Shows("briarlead_answers_by_server_total 2"));
  CHECK(Shows("briarlead_answers_refused_total 1"));
  CHECK(Shows("briarlead_answers_failed_total 1"));
  CHECK(Shows("briarlead_streams_cut_off_total 1"));
}

TEST(GatewayMetrics, RequestsWithoutAnOwnerAreCounted) {
  metrics_.OnNoOwner();
  CHECK(Shows("briarlead_no_owner_total 1"));
  CHECK(Shows("briarlead_owns_engines 0"));
}

TEST(GatewayMetrics, AttemptsAreCountedByOutcome) {
  metrics_.OnAttempt(AttemptOutcome::kServed, false);
  metrics_.OnAttempt(AttemptOutcome::kNotConnected, true);
  metrics_.OnAttempt(AttemptOutcome::kRefused, false);
  CHECK(Shows("briarlead_sends_total 3"));
  CHECK(Shows("briarlead_sends_failed_total 1"));
  CHECK(Shows("briarlead_sends_refused_total 1"));
  CHECK(Shows("briarlead_ejections_total 1"));
}

}  // namespace briarlead
