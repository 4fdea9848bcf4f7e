#include "briarlead_requests/service_pool.h"

#include <CppUTest/TestHarness.h>

namespace briarlead {

TEST_GROUP(ServicePool) {
  Blackboard blackboard_;
  ServiceId service_{"visit-desk"};
  DataCentreId howrah_{"howrah"};
  ServicePoolLimits limits_{20, 0.5, 10};
  ServicePool pool_{service_, howrah_, blackboard_, limits_};
  TimePoint now_{std::chrono::seconds(1)};
  std::uint64_t last_sequence_ = 0;

  void AddRunner(const char* id, std::uint32_t slots) {
    BackendServerRecord record;
    record.id = BackendServerId(id);
    record.data_centre = howrah_;
    record.service = service_;
    record.slots = slots;
    blackboard_.servers.Put(record);
  }

  RequestId Enqueue(Rank rank, const char* customer = "c") {
    RequestId id{HostId("h"), 1, ++last_sequence_};
    pool_.Enqueue({id, CustomerId(customer), rank, std::chrono::seconds(1)},
                  now_);
    return id;
  }

  /// Takes all commands and returns the requests of those of type `T`.
  template <typename T>
  std::vector<RequestId> Take() {
    std::vector<RequestId> found;
    for (const ServicePoolCommand& it : pool_.TakeCommands()) {
      if (const T* command = std::get_if<T>(&it))
        found.push_back(command->request);
    }
    return found;
  }
};

TEST(ServicePool, CallsSpreadOverRunnersUpToTheirSlots) {
  AddRunner("r1", 1);
  AddRunner("r2", 1);
  for (int it = 0; it < 3; ++it)
    Enqueue(Rank::kUrgent);
  LONGS_EQUAL(2, Take<SendToRunner>().size());
  LONGS_EQUAL(1, pool_.queued());
}

TEST(ServicePool, CallWithoutARunnerIsRefusedAtOnce) {
  Enqueue(Rank::kUrgent);
  LONGS_EQUAL(1, Take<RefuseCall>().size());
}

TEST(ServicePool, UrgentCallsStartFirstAndPatientCallsKeepTheirShare) {
  AddRunner("r1", 1);
  RequestId running = Enqueue(Rank::kPatient);
  std::size_t patient = 0;
  for (int it = 0; it < 9; ++it)
    Enqueue(Rank::kPatient, "p");
  for (int it = 0; it < 40; ++it) {
    Enqueue(Rank::kUrgent, it % 2 == 0 ? "u" : "v");
    pool_.TakeCommands();
    pool_.OnEnded(running, true, now_);
    const auto sent = Take<SendToRunner>();
    LONGS_EQUAL(1, sent.size());
    running = sent[0];
    patient += running.sequence <= 10 ? 1 : 0;
  }
  LONGS_EQUAL(4, patient);
}

TEST(ServicePool, LateUrgentCallIsRefusedWhilePatientCallWaits) {
  AddRunner("r1", 1);
  const RequestId running = Enqueue(Rank::kUrgent);
  const RequestId urgent = Enqueue(Rank::kUrgent);
  const RequestId patient = Enqueue(Rank::kPatient);
  pool_.TakeCommands();
  now_ += std::chrono::seconds(1);
  pool_.Tick(now_);
  const auto refused = Take<RefuseCall>();
  LONGS_EQUAL(1, refused.size());
  CHECK_TRUE(refused[0] == urgent);
  pool_.OnEnded(running, true, now_);
  CHECK_TRUE(Take<SendToRunner>().at(0) == patient);
}

TEST(ServicePool, CustomerCannotFillMoreThanItsShareOfTheQueue) {
  AddRunner("r1", 1);
  for (int it = 0; it < 100; ++it)
    Enqueue(Rank::kUrgent, "flood");
  LONGS_EQUAL(10, pool_.queued());
  pool_.TakeCommands();
  Enqueue(Rank::kUrgent, "other");
  CHECK_TRUE(Take<RefuseCall>().empty());
  LONGS_EQUAL(11, pool_.queued());
}

TEST(ServicePool, EndedCallFreesItsSlotOrQueueEntry) {
  AddRunner("r1", 1);
  const RequestId running = Enqueue(Rank::kUrgent);
  const RequestId queued = Enqueue(Rank::kUrgent);
  pool_.OnEnded(queued, false, now_);
  pool_.OnEnded(running, false, now_);
  pool_.OnEnded(running, false, now_);
  LONGS_EQUAL(0, pool_.queued());
  LONGS_EQUAL(0, pool_.running());
}

TEST(ServicePool, LeavingRunnerGetsNoNewCalls) {
  AddRunner("r1", 1);
  blackboard_.servers.Find(BackendServerId("r1"))->state =
      BackendServerState::kLeaving;
  AddRunner("r2", 1);
  Enqueue(Rank::kUrgent);
  const auto commands = pool_.TakeCommands();
  STRCMP_EQUAL("r2",
               std::get<SendToRunner>(commands.at(0)).server.value().c_str());
}

}  // namespace briarlead
