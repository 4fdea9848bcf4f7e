#ifndef BRIARLEAD_DISPATCH_DISPATCHER_TEST_FIXTURE_H_
#define BRIARLEAD_DISPATCH_DISPATCHER_TEST_FIXTURE_H_

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "briarlead_blackboard/blackboard.h"
#include "briarlead_dispatch/dispatcher.h"

// After everything that uses the global operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline const DataCentreId kHome("home");
inline const ModelId kModel("summary");

inline BackendServerRecord MakeEngine(const std::string& id,
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

/// A shard with one prefill engine and some decode engines; the test sets the
/// time in `now_`.
class DispatcherFixture : public Utest {
 public:
  Blackboard blackboard_;
  DispatcherOptions options_;
  TimePoint now_{seconds(100)};
  std::uint64_t sequence_ = 0;

  void AddEngines(std::uint32_t decode_engines, std::uint32_t slots) {
    blackboard_.servers.Put(
        MakeEngine("prefill-1", BackendServerRole::kPrefill, 8));
    for (std::uint32_t i = 0; i < decode_engines; ++i)
      blackboard_.servers.Put(MakeEngine("decode-" + std::to_string(i + 1),
                                         BackendServerRole::kDecode, slots));
  }

  PlacementRequest MakeRequest(const std::string& customer, Rank rank) {
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

  /// Discards the pending commands.
  static void DiscardCommands(Dispatcher& dispatcher) {
    const auto commands = dispatcher.TakeCommands();
    (void)commands;
  }
  Dispatcher MakeDispatcher() {
    return Dispatcher(kHome, kModel, blackboard_, options_);
  }
  /// Returns the grants among `commands`.
  static std::vector<PlacementGrant> Grants(
      const std::vector<DispatchCommand>& commands) {
    std::vector<PlacementGrant> grants;
    for (const DispatchCommand& it : commands) {
      if (const auto* grant = std::get_if<PlacementGrant>(&it))
        grants.push_back(*grant);
    }
    return grants;
  }
  static std::vector<PlacementRefusal> Refusals(
      const std::vector<DispatchCommand>& commands) {
    std::vector<PlacementRefusal> refusals;
    for (const DispatchCommand& it : commands) {
      if (const auto* refusal = std::get_if<PlacementRefusal>(&it))
        refusals.push_back(*refusal);
    }
    return refusals;
  }
  /// Returns the servers on which `commands` cancel an attempt.
  static std::vector<std::string> CancelTargets(
      const std::vector<DispatchCommand>& commands) {
    std::vector<std::string> servers;
    for (const DispatchCommand& it : commands) {
      if (const auto* cancel = std::get_if<CancelOnEngine>(&it))
        servers.push_back(cancel->server.value());
    }
    return servers;
  }
  /// Enqueues `request` and returns its grant, which must be issued at once.
  PlacementGrant Start(Dispatcher& dispatcher,
                       const PlacementRequest& request) {
    dispatcher.Enqueue(request, now_);
    const auto grants = Grants(dispatcher.TakeCommands());
    CHECK_EQUAL(1, grants.size());
    return grants.front();
  }
  /// Advances an attempt to its first token.
  void BringToDecode(Dispatcher& dispatcher, const PlacementGrant& grant) {
    now_ += milliseconds(50);
    dispatcher.OnPrefillDone(grant.request, grant.attempt, 24'000'000, now_);
    now_ += milliseconds(20);
    dispatcher.OnFirstToken(grant.request, grant.attempt, now_);
  }
  /// Runs all timers up to `end` and returns the resulting commands.
  std::vector<DispatchCommand> RunUntil(Dispatcher& dispatcher, TimePoint end) {
    std::vector<DispatchCommand> commands;
    for (;;) {
      const auto wake = dispatcher.NextWake();
      if (!wake || *wake > end)
        break;
      now_ = std::max(now_, *wake);
      dispatcher.Tick(now_);
      for (DispatchCommand& it : dispatcher.TakeCommands())
        commands.push_back(std::move(it));
    }
    now_ = end;
    return commands;
  }
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_DISPATCHER_TEST_FIXTURE_H_
