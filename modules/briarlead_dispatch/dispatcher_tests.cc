#include "briarlead_dispatch/dispatcher.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <string>
#include <vector>

#include "briarlead_blackboard/blackboard.h"

namespace briarlead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const DataCentreId kHome("home");
const ModelId kModel("summary");

BackendServerRecord Engine(const std::string& id,
                           BackendServerRole role,
                           std::uint32_t slots) {
  BackendServerRecord record;
  record.id = BackendServerId(id);
  record.data_centre = kHome;
  record.role = role;
  record.model = kModel;
  record.incarnation = 1;
  record.slots = slots;
  record.link_bytes_per_second = 4'000'000'000;
  return record;
}

}  // namespace

TEST_GROUP(Dispatcher) {
  Blackboard blackboard_;
  DispatcherOptions options_;
  TimePoint now_{seconds(100)};
  std::uint64_t sequence_ = 0;

  void AddEngines(std::uint32_t decode_engines, std::uint32_t slots) {
    blackboard_.servers.Put(
        Engine("prefill-1", BackendServerRole::kPrefill, 8));
    for (std::uint32_t i = 0; i < decode_engines; ++i)
      blackboard_.servers.Put(Engine("decode-" + std::to_string(i + 1),
                                     BackendServerRole::kDecode, slots));
  }

  PlacementRequest Request(const std::string& customer, Rank rank) {
    PlacementRequest request;
    request.request = {HostId("entry-1"), 1, ++sequence_};
    request.customer = CustomerId(customer);
    request.rank = rank;
    request.model = kModel;
    request.prompt_tokens = 400;
    request.max_output_tokens = 100;
    request.first_token_target =
        rank == Rank::kUrgent ? FromSeconds(1.2) : FromSeconds(10);
    request.token_gap_target = milliseconds(63);
    return request;
  }
};

TEST(Dispatcher, GrantsAtOnceWhenEnginesAreFree) {
  AddEngines(1, 2);
  Dispatcher dispatcher(kHome, kModel, blackboard_, options_);
  dispatcher.OnServersChanged(now_);
  const PlacementRequest request = Request("visits", Rank::kPatient);
  dispatcher.Enqueue(request, now_);
  const std::vector<DispatchCommand> commands = dispatcher.TakeCommands();
  CHECK_EQUAL(1, commands.size());
  const auto& grant = std::get<PlacementGrant>(commands[0]);
  CHECK_TRUE(grant.request == request.request);
  CHECK_EQUAL(1, grant.attempt);
  CHECK_TRUE(grant.prefill_server == BackendServerId("prefill-1"));
  CHECK_TRUE(grant.decode_server == BackendServerId("decode-1"));
}

TEST(Dispatcher, RefusesInTheSameEventWithoutEngines) {
  Dispatcher dispatcher(kHome, kModel, blackboard_, options_);
  dispatcher.OnServersChanged(now_);
  dispatcher.Enqueue(Request("visits", Rank::kUrgent), now_);
  const std::vector<DispatchCommand> commands = dispatcher.TakeCommands();
  CHECK_EQUAL(1, commands.size());
  CHECK_TRUE(std::get<PlacementRefusal>(commands[0]).retry_after >= seconds(1));
}

}  // namespace briarlead
