#include "bench/scenario.h"

#include <algorithm>

namespace briarlead::bench {
namespace {

constexpr double kBaseLoad = 0.8;
constexpr double kPeakLoad = 1.0;

Flood MakeFlood(bool urgent, bool patient) {
  Flood flood;
  flood.from = kEventFrom;
  flood.to = kEventTo;
  flood.urgent = urgent;
  flood.patient = patient;
  return flood;
}

Scenario WithFlood(const std::string& name, const Flood& flood) {
  Scenario scenario;
  scenario.name = name;
  scenario.load = kBaseLoad;
  scenario.flood = flood;
  return scenario;
}

Scenario WithFault(const std::string& name, Fault fault, double load) {
  Scenario scenario;
  scenario.name = name;
  scenario.load = load;
  scenario.fault = fault;
  return scenario;
}

}  // namespace

std::vector<Scenario> AllScenarios() {
  std::vector<Scenario> scenarios = {
      {"load 0.5", 0.5}, {"load 0.8", 0.8}, {"load 1.0", 1.0},
      {"load 1.2", 1.2}, {"load 2.0", 2.0},
  };
  for (Scenario& it : scenarios)
    it.arrivals_end = kLongArrivalsEnd;
  scenarios.push_back(WithFlood("patient flood", MakeFlood(false, true)));
  scenarios.push_back(WithFlood("urgent flood", MakeFlood(true, false)));
  Flood one_urgent = MakeFlood(true, false);
  one_urgent.customer = 0;
  one_urgent.of_own_rate = false;
  scenarios.push_back(WithFlood("urgent flood by one", one_urgent));
  Flood one = MakeFlood(true, true);
  one.customer = 0;
  scenarios.push_back(WithFlood("flood by one", one));
  scenarios.push_back(WithFlood("flood by all", MakeFlood(true, true)));
  scenarios.push_back(
      WithFault("half of engines lost", Fault::kHalfOfEnginesLost, kBaseLoad));
  scenarios.push_back(
      WithFault("decode engines lost", Fault::kDecodeEnginesLost, 0.5));
  scenarios.push_back(
      WithFault("stalled links", Fault::kStalledLinks, kBaseLoad));
  scenarios.push_back(
      WithFault("data centre cut off", Fault::kDataCentreCutOff, kBaseLoad));
  scenarios.push_back(
      WithFault("dispatcher killed", Fault::kDispatcherKilled, kPeakLoad));
  Scenario cold = {"cold start", kPeakLoad};
  cold.cold_start = true;
  scenarios.push_back(cold);
  return scenarios;
}

Scenario ScenarioNamed(const std::string& name) {
  for (const Scenario& it : AllScenarios()) {
    if (it.name == name)
      return it;
  }
  return {};
}

}  // namespace briarlead::bench
