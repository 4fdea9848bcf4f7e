#include "briarlead_blackboard/backend_server_table.h"

#include <CppUTest/TestHarness.h>

namespace briarlead {

namespace {

BackendServerRecord MakeServer(const char* id, BackendServerRole role) {
  BackendServerRecord record;
  record.id = BackendServerId(id);
  record.data_centre = DataCentreId("howrah");
  record.model = ModelId("summary");
  record.role = role;
  return record;
}

}  // namespace

TEST_GROUP(BackendServerTable) {
  BackendServerTable table_;
  DataCentreId howrah_{"howrah"};
  ModelId summary_{"summary"};
};

TEST(BackendServerTable, ServingEnginesExcludesLeavingAndSilentServers) {
  table_.Put(MakeServer("d2", BackendServerRole::kDecode));
  table_.Put(MakeServer("d1", BackendServerRole::kDecode));
  table_.Put(MakeServer("p1", BackendServerRole::kPrefill));
  auto found =
      table_.ServingEngines(howrah_, summary_, BackendServerRole::kDecode);
  LONGS_EQUAL(2, found.size());
  STRCMP_EQUAL("d1", found[0]->id.value().c_str());

  table_.Find(BackendServerId("d1"))->state = BackendServerState::kLeaving;
  table_.Find(BackendServerId("d2"))->state = BackendServerState::kSilent;
  found = table_.ServingEngines(howrah_, summary_, BackendServerRole::kDecode);
  CHECK_TRUE(found.empty());
}

TEST(BackendServerTable, ServingRunnersSelectsByServiceAndDataCentre) {
  BackendServerRecord runner = MakeServer("r1", BackendServerRole::kService);
  runner.service = ServiceId("visit-desk");
  table_.Put(runner);
  LONGS_EQUAL(1,
              table_.ServingRunners(howrah_, ServiceId("visit-desk")).size());
  CHECK_TRUE(table_.ServingRunners(howrah_, ServiceId("other")).empty());
  CHECK_TRUE(
      table_.ServingRunners(DataCentreId("barasat"), ServiceId("visit-desk"))
          .empty());
}

}  // namespace briarlead
