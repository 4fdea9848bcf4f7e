#include "bench/placement_cost.h"

#include <chrono>
#include <ctime>
#include <string>
#include <vector>

#include "briarlead_blackboard/blackboard.h"
#include "briarlead_dispatch/dispatcher.h"

namespace briarlead::bench {
namespace {

constexpr std::uint32_t kPlacements = 5'000;
constexpr std::uint32_t kSlots = 16;
constexpr std::uint32_t kCustomers = 50;
const DataCentreId kHome("dc-0");
const ModelId kModel("summary");

Blackboard MakeServers(std::uint32_t engines) {
  Blackboard blackboard;
  for (std::uint32_t i = 0; i < engines; ++i) {
    BackendServerRecord record;
    record.id = BackendServerId("engine-" + std::to_string(i));
    record.data_centre = kHome;
    record.model = kModel;
    record.role =
        i % 2 == 0 ? BackendServerRole::kPrefill : BackendServerRole::kDecode;
    record.slots = kSlots;
    record.link_bytes_per_second = 4'000'000'000;
    blackboard.servers.Put(record);
  }
  return blackboard;
}

PlacementRequest MakeRequest(std::uint64_t sequence) {
  PlacementRequest request;
  request.request = {HostId("entry-0"), 1, sequence};
  request.customer =
      CustomerId("customer-" + std::to_string(sequence % kCustomers));
  request.model = kModel;
  request.prompt_tokens = 2'000;
  request.max_output_tokens = 200;
  // Far off, so that the queue neither refuses nor turns late.
  request.first_token_target = std::chrono::hours(24);
  return request;
}

double ProcessorNanoseconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e9 +
         static_cast<double>(time.tv_nsec);
}

}  // namespace

double MeasurePlacementNanoseconds(std::uint32_t engines,
                                   std::uint32_t queued) {
  const Blackboard blackboard = MakeServers(engines);
  DispatcherOptions options;
  options.max_queued_per_rank = 1'000'000;
  options.max_queued_per_customer = 1'000'000;
  Dispatcher dispatcher(kHome, kModel, blackboard, options);
  TimePoint now{std::chrono::seconds(1)};
  dispatcher.OnServersChanged(now);
  std::uint64_t sequence = 0;
  std::vector<PlacementGrant> running;
  const auto take = [&dispatcher, &running] {
    for (const DispatchCommand& it : dispatcher.TakeCommands()) {
      if (const auto* grant = std::get_if<PlacementGrant>(&it))
        running.push_back(*grant);
    }
  };
  const std::uint32_t slots = engines / 2 * kSlots;
  while (sequence < queued + slots) {
    dispatcher.Enqueue(MakeRequest(++sequence), now);
    take();
  }
  std::size_t next = 0;
  const double start = ProcessorNanoseconds();
  for (std::uint32_t i = 0; i < kPlacements && next < running.size(); ++i) {
    now += std::chrono::milliseconds(5);
    const PlacementGrant grant = running[next++];
    dispatcher.OnPrefillDone(grant.request, grant.attempt, 100'000'000, now);
    take();
    dispatcher.OnFirstToken(grant.request, grant.attempt, now);
    dispatcher.OnFinished(grant.request, grant.attempt, 150,
                          now + std::chrono::seconds(6));
    take();
    dispatcher.Enqueue(MakeRequest(++sequence), now);
    take();
  }
  return (ProcessorNanoseconds() - start) / static_cast<double>(next);
}

}  // namespace briarlead::bench
