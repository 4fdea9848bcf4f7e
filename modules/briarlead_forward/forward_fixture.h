#ifndef BRIARLEAD_FORWARD_FORWARD_FIXTURE_H_
#define BRIARLEAD_FORWARD_FORWARD_FIXTURE_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "briarlead_forward/briarlead_forward.h"
#include "testing/seed_or.h"

// After everything that uses the global operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {

/// Provides what a ForwardFlow needs. The test announces the servers and sets
/// the time.
class ForwardFixture {
 public:
  /// `address` is that of the entry host.
  explicit ForwardFixture(const std::string& address = "10.0.0.1")
      : permit_owners_({address, 7001}),
        relays_({address, 7001}, DataCentreId("here")),
        suspects_(address) {
    RouteList list;
    list.version = 1;
    list.services = {{ServiceId("desk"), "/health", 10, std::nullopt},
                     {ServiceId("models"), "/health", 10, EngineTraits()}};
    EngineTraits& traits = *list.services[1].engine;
    traits.slots = 128;
    traits.kv_token_capacity = 75'000;
    traits.tokens_per_event = 58;
    traits.kv_result_life = std::chrono::milliseconds(500);
    list.routes = {MakeRoute("safe", RouteKind::kSafe, "desk", 2),
                   MakeRoute("unsafe", RouteKind::kUnsafe, "desk", 1),
                   MakeRoute("resumable", RouteKind::kStream, "models", 2),
                   MakeRoute("once", RouteKind::kStream, "models", 1)};
    list.routes[2].resumable = true;
    table_ = std::make_shared<const RouteTable>(std::move(list));
    origins_.SetCurrent(true);
  }

  /// Returns the retry budget of a host that has long known to be the only one.
  static RetryBudget MakeBudget(double ratio, double slack) {
    RetryBudget budget({ratio, slack, std::chrono::seconds(10)});
    budget.SetHostCount(1, TimePoint());
    return budget;
  }

  void Announce(const char* id,
                const char* service,
                EngineStage stage = EngineStage::kNone,
                const char* data_centre = "here",
                const std::string& address = {},
                std::uint64_t born_ms = 1) {
    ServerRecord record;
    record.id = BackendServerId(id);
    record.service = ServiceId(service);
    record.address = {address.empty() ? id : address, 80};
    record.data_centre = DataCentreId(data_centre);
    record.slots = 6;
    record.stage = stage;
    record.born_ms = born_ms;
    directory_.Merge(record, now_);
  }

  /// Announces an engine of `software`.
  void AnnounceEngine(const char* id, EngineStage stage, const char* software) {
    ServerRecord record;
    record.id = BackendServerId(id);
    record.service = ServiceId("models");
    record.address = {id, 80};
    record.data_centre = DataCentreId("here");
    record.software = SoftwareVersion(software);
    record.slots = 6;
    record.stage = stage;
    record.born_ms = 1;
    directory_.Merge(record, now_);
  }

  void AnnounceEngines() {
    Announce("p1", "models", EngineStage::kPrefill);
    Announce("d1", "models", EngineStage::kDecode);
    Announce("d2", "models", EngineStage::kDecode, "there");
  }

  /// Reports the result of a check of `server`, as the entry process does.
  void OnServerChecked(const ServerRecord& server, bool up) {
    if (up)
      pool_.OnUp(IncarnationOf(server), now_);
    else
      pool_.OnDown(IncarnationOf(server), now_);
    suspects_.OnServerChecked(IncarnationOf(server), up, now_);
  }

  std::unique_ptr<ForwardFlow> MakeFlow(
      const char* route_name,
      std::vector<SuspectId> shared_parts = {}) {
    const Route* route =
        table_->Match("a.example", std::string("/") + route_name + "/x");
    RequestFacts facts;
    facts.id = "r";
    facts.patience = std::chrono::seconds(10);
    facts.prompt_tokens = 5000;
    facts.max_output_tokens = 8000;
    facts.shared_parts = std::move(shared_parts);
    return MakeFlow(*route, facts);
  }

  /// A caller's attempt to resume the stream that began as `resumed_attempt`.
  std::unique_ptr<ForwardFlow> MakeResumption(const char* resumed_attempt) {
    RequestFacts facts;
    facts.id = "second";
    facts.patience = std::chrono::seconds(10);
    facts.last_event_id = 3;
    facts.resumed_attempt = resumed_attempt;
    facts.prompt_tokens = 5000;
    facts.max_output_tokens = 8000;
    return MakeFlow(*table_->Match("a.example", "/resumable/x"), facts);
  }

  std::unique_ptr<ForwardFlow> MakeFlow(const Route& route,
                                        const RequestFacts& facts) {
    return std::make_unique<ForwardFlow>(
        ForwardContext{pool_, relays_, limits_, budget_, random_, load_tracker_,
                       placer_, owners_, output_lengths_, suspects_,
                       body_budget_, origins_, shutdown_, gate_,
                       scheduled_services_},
        ++last_key_, table_, route, facts, now_);
  }

  void Advance(int milliseconds) {
    now_ += std::chrono::milliseconds(milliseconds);
  }

  ServerDirectory directory_;
  TimePoint now_{std::chrono::seconds(100)};
  ServerLimits limits_;
  PermitOwners permit_owners_;
  PermitIssuer permit_issuer_{limits_, permit_owners_};
  SendPermits permits_{limits_, permit_owners_};
  RelayHosts relays_;
  ServerPool pool_{directory_, permits_, relays_, DataCentreId("here")};
  RetryBudget budget_ = MakeBudget(1.0, 100);
  RandomSource random_{7};
  EngineLoadTracker load_tracker_;
  ModelPlacer placer_{load_tracker_, pool_};
  PlacementOwners owners_{{"10.0.0.1", 7001}, DataCentreId("here")};
  OutputLengthEstimator output_lengths_;
  CrashSuspects suspects_;
  BodyBudget body_budget_;
  StreamOrigins origins_{directory_};
  std::set<ServiceId> scheduled_services_;
  ShutdownPlan shutdown_{std::chrono::seconds(8)};
  SendGate gate_;
  std::shared_ptr<const RouteTable> table_;
  RequestKey last_key_ = 0;

 private:
  static Route MakeRoute(const char* name,
                         RouteKind kind,
                         const char* service,
                         unsigned attempts) {
    Route route;
    route.name = name;
    route.host = "a.example";
    route.path_prefix = std::string("/") + name + "/";
    route.kind = kind;
    route.services = {{ServiceId(service), 1}};
    route.max_attempts = attempts;
    route.timeout = std::chrono::seconds(8);
    route.target_latency = std::chrono::milliseconds(800);
    route.max_event_gap = std::chrono::milliseconds(300);
    return route;
  }
};

/// Returns the commands of type `T` in `commands`.
template <typename T>
std::vector<T> CommandsOf(const std::vector<ForwardCommand>& commands) {
  std::vector<T> found;
  for (const ForwardCommand& it : commands) {
    if (const auto* command = std::get_if<T>(&it))
      found.push_back(*command);
  }
  return found;
}

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_FORWARD_FIXTURE_H_
