#include "briarlead_settings/routing_settings.h"

#include <fstream>
#include <iterator>
#include <string>

// Must come after all headers that use the global operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {

namespace {

std::string GatewayExample() {
  std::ifstream stream(BRIARLEAD_EXAMPLES_DIR "/gateway.json");
  return {std::istreambuf_iterator<char>(stream), {}};
}

}  // namespace

TEST_GROUP(RoutingSettings) {
  Findings findings_;
  std::string text_ = GatewayExample();

  void Replace(std::string_view from, std::string_view to) {
    text_.replace(text_.find(from), from.size(), to);
  }
};

TEST(RoutingSettings, ReadsTheGatewayExample) {
  const auto settings = ParseRoutingSettings("gateway.json", text_, findings_);
  CHECK(settings.has_value());
  CHECK(settings->address == "127.0.0.4");
  CHECK_EQUAL(3U, settings->seeds.size());
  CHECK((settings->seeds[1] == Endpoint{"127.0.0.2", 7301}));
  CHECK_EQUAL(3U, settings->min_voters);
  CHECK((settings->callers == Endpoint{"127.0.0.4", 7302}));
  CHECK_EQUAL(0, settings->control.port);
  CHECK(settings->stop_timeout == std::chrono::seconds(8));
}

TEST(RoutingSettings, EveryFaultIsReported) {
  Replace("\"127.0.0.4:7302\"", "\"127.0.0.4\"");
  Replace("\"127.0.0.1:7301\"", "5");
  Replace("\"retry_ratio\": 0.2", "\"retry_ratio\": 7");
  Replace("\"name\"", "\"nam\"");
  CHECK_FALSE(
      ParseRoutingSettings("gateway.json", text_, findings_).has_value());
  // The misspelt "name" counts twice: as a missing key and as an unknown key.
  CHECK_EQUAL(5U, findings_.items().size());
}

}  // namespace briarlead
