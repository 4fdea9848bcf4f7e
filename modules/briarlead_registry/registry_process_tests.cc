#include "briarlead_registry/registry_process.h"

#include <signal.h>
#include <stdlib.h>
#include <sys/resource.h>

#include <array>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "briarlead_net/address_transport.h"

// Included last, since it redefines operator new.
#include "briarlead_wire/call_for_tests.h"

namespace briarlead {

namespace {

constexpr std::size_t kHosts = 3;
constexpr std::uint16_t kPeerPort = 28660;
constexpr std::uint16_t kEntryPeerPort = 28661;
constexpr std::uint16_t kControlPort = 28662;
constexpr std::string_view kRoutes = "/routes/";
constexpr std::string_view kServers = "/servers/";

/// Maximum time in which a host that lost its disk must be a full member again
/// (required by the users).
constexpr Duration kRejoinTime = std::chrono::seconds(4);

/// Maximum time until changes are taken again once all disks have room
/// (required by the users).
constexpr Duration kRecoveryTime = std::chrono::seconds(12);

std::string AddressOf(std::size_t host) {
  return "127.0.0." + std::to_string(11 + host);
}

/// Time that no late announcement of a server that left may make it ready.
constexpr Duration kLateTime = std::chrono::milliseconds(1500);

/// Parses the calls of these tests: /routes/VERSION, /routes,
/// /servers/ID/STATE, /servers/ID/gone without a start, and /servers/ID/again,
/// the announcement of a start half a second ago.
RegistryCall ReadTestCall(const RequestHead& head, std::string& body) {
  const std::string_view path = head.path();
  if (path == "/routes")
    return ReadRoutesCall{};
  if (path.starts_with(kRoutes)) {
    ReplaceRoutesCall call;
    const std::string_view digits = path.substr(kRoutes.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), call.version);
    call.text = std::move(body);
    return call;
  }
  if (!path.starts_with(kServers))
    return UnknownCall{};
  AnnounceCall call;
  call.record.id = BackendServerId("i-1");
  call.record.service = ServiceId("desk");
  call.record.address = {"10.0.0.1", 80};
  call.record.born_ms = 1;
  call.record.sequence = 1;
  if (path.ends_with("/gone"))
    return DeregisterCall{call.record.id, 0};
  if (path.ends_with("/again"))
    call.record.born_ms = UnixNowMs() - 500;
  if (path.ends_with("/far"))
    call.record.born_ms = ~std::uint64_t{0};
  if (path.ends_with("/leaving")) {
    call.record.state = ServerState::kLeaving;
    call.record.sequence = 2;
  }
  return call;
}

/// Reads any text as a list with one account, of 100 requests per second.
std::optional<RouteList> ReadTestRoutes(std::string_view, Findings&) {
  RouteList list;
  ClientAccount account;
  account.id = CustomerId("c");
  account.quota = {QuotaUnit::kRequests, 100, 100, 1};
  list.accounts = {account};
  return list;
}

/// While it lives, every write to a file of this process fails.
class FullDisks {
 public:
  FullDisks() : old_handler_(signal(SIGXFSZ, SIG_IGN)) {
    getrlimit(RLIMIT_FSIZE, &old_limit_);
    const rlimit none{0, old_limit_.rlim_max};
    setrlimit(RLIMIT_FSIZE, &none);
  }
  ~FullDisks() {
    setrlimit(RLIMIT_FSIZE, &old_limit_);
    signal(SIGXFSZ, old_handler_);
  }
  FullDisks(const FullDisks&) = delete;
  FullDisks& operator=(const FullDisks&) = delete;

 private:
  rlimit old_limit_{};
  void (*old_handler_)(int);
};

}  // namespace

// Three complete control processes, each on its own loopback address.
TEST_GROUP(RegistryProcess) {
  std::string folder_;
  Logger logger_{LogLevel::kError, [] { return std::string(); },
                 [](std::string_view) {}};
  std::array<std::unique_ptr<RegistryProcess>, kHosts> hosts_;
  std::optional<int> exit_code_;

  void setup() override {
    char name[] = "/tmp/briarlead_registry_XXXXXX";
    folder_ = mkdtemp(name);
  }
  void teardown() override {
    for (auto& it : hosts_)
      it.reset();
    while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
    }
    std::filesystem::remove_all(folder_);
  }

  void Start(std::size_t host, bool first_start) {
    RoutingSettings settings;
    settings.name = "control-" + std::to_string(host);
    settings.address = AddressOf(host);
    settings.data_centre = DataCentreId("a");
    settings.control_peer_port = kPeerPort;
    settings.entry_peer_port = kEntryPeerPort;
    for (std::size_t i = 0; i < kHosts; ++i)
      settings.seeds.push_back({AddressOf(i), kControlPort});
    settings.first_start = first_start;
    settings.min_voters = kHosts;
    settings.data_folder = folder_ + "/" + settings.name;
    std::filesystem::create_directories(settings.data_folder);
    settings.control = {AddressOf(host), kControlPort};
    settings.frame_key = std::string(32, 'k');
    hosts_[host] = std::make_unique<RegistryProcess>(
        settings, ReadTestCall, ReadTestRoutes, logger_,
        [this](int exit_code) { exit_code_ = exit_code; });
    CHECK_TRUE(hosts_[host]->Start().has_value());
  }
  void StartAll(bool first_start) {
    for (std::size_t i = 0; i < kHosts; ++i)
      Start(i, first_start);
  }

  static TestAnswer Call(std::size_t host, const std::string& method,
                         const std::string& path, const std::string& body) {
    return CallOnce({AddressOf(host), kControlPort}, method, path, body);
  }
  static void Wait(Duration time) {
    const TimePoint end = LoopNow() + time;
    RunUntil([end] { return LoopNow() >= end; });
  }

  /// Calls the running hosts in turn until one answers with `status`. Returns
  /// false after kLongestWaitS seconds. The body is stored in `answered`.
  bool CallUntil(int status, const std::string& method, const std::string& path,
                 const std::string& body, std::string* answered = nullptr) {
    const TimePoint end = LoopNow() + std::chrono::seconds(kLongestWaitS);
    for (std::size_t i = 0; LoopNow() < end; ++i) {
      if (!hosts_[i % kHosts])
        continue;
      const TestAnswer answer = Call(i % kHosts, method, path, body);
      if (answer.status == status) {
        if (answered != nullptr)
          *answered = answer.body;
        return true;
      }
      Wait(std::chrono::milliseconds(20));
    }
    return false;
  }
};

TEST(RegistryProcess, AcknowledgedListSurvivesASimultaneousRestartOfAllHosts) {
  StartAll(true);
  CHECK_TRUE(CallUntil(200, "POST", "/routes/7", "seven"));
  std::string text;
  CHECK_TRUE(CallUntil(200, "GET", "/routes", "", &text));
  STRCMP_EQUAL("seven", text.c_str());
  for (auto& it : hosts_)
    it.reset();
  StartAll(false);
  CHECK_TRUE(CallUntil(200, "GET", "/routes", "", &text));
  STRCMP_EQUAL("seven", text.c_str());
}

TEST(RegistryProcess, LowerOrEqualVersionIsAcknowledgedAndChangesNothing) {
  StartAll(true);
  CHECK_TRUE(CallUntil(200, "POST", "/routes/7", "seven"));
  CHECK_TRUE(CallUntil(200, "POST", "/routes/7", "other"));
  CHECK_TRUE(CallUntil(200, "POST", "/routes/6", "six"));
  std::string text;
  CHECK_TRUE(CallUntil(200, "GET", "/routes", "", &text));
  STRCMP_EQUAL("seven", text.c_str());
}

TEST(RegistryProcess, HostThatLostItsDiskRejoinsAsAFullMember) {
  StartAll(true);
  CHECK_TRUE(CallUntil(200, "POST", "/routes/7", "seven"));
  hosts_[0].reset();
  std::filesystem::remove_all(folder_ + "/control-0");
  Start(0, false);
  CHECK_TRUE(CallUntil(200, "POST", "/routes/8", "eight"));
  // Until the host has caught up and has replaced its former replica in the
  // group, the group can't lose another host.
  Wait(kRejoinTime);
  hosts_[1].reset();
  std::string text;
  CHECK_TRUE(CallUntil(200, "GET", "/routes", "", &text));
  STRCMP_EQUAL("eight", text.c_str());
}

TEST(RegistryProcess, HostThatIsAloneAcceptsNothingAndConfirmsNoLeaving) {
  StartAll(true);
  CHECK_TRUE(CallUntil(200, "POST", "/routes/7", "seven"));
  CHECK_TRUE(CallUntil(200, "POST", "/servers/i-1/ready", ""));
  hosts_[1].reset();
  hosts_[2].reset();
  CHECK_TRUE(CallUntil(503, "POST", "/servers/i-1/leaving", ""));
  CHECK_EQUAL(200, Call(0, "POST", "/servers/i-1/ready", "").status);
  const int status = Call(0, "POST", "/routes/8", "eight").status;
  CHECK_TRUE(status == 503 || status == 307);
  CHECK_EQUAL(503, Call(0, "GET", "/routes", "").status);
}

TEST(RegistryProcess, EntryThatStartsInTheFutureIsRefused) {
  Start(0, true);
  CHECK_EQUAL(400, Call(0, "POST", "/servers/i-1/far", "").status);
  CHECK_EQUAL(200, Call(0, "POST", "/servers/i-1/ready", "").status);
}

// Two hosts that grant amounts would grant more than the quota.
TEST(RegistryProcess, OnlyTheLeaderGrantsAmountsOfQuotas) {
  StartAll(true);
  CHECK_TRUE(CallUntil(200, "POST", "/routes/7", "seven"));
  std::map<HostId, QuotaGrantReply> replies;
  PeerTransport::Handlers handlers;
  handlers.on_frame = [&](const Frame& frame) {
    const auto message = DecodeRoutingMessage(frame.payload);
    if (const auto* it = std::get_if<QuotaGrantReply>(&message.value()))
      replies[frame.sender.host] = *it;
  };
  handlers.on_link_failure = [](const Endpoint&, LinkFailure) {};
  const auto issuer =
      std::move(OpenAddressTransport({"127.0.0.21", kEntryPeerPort},
                                     std::string(32, 'k'), std::move(handlers))
                    .value());
  // The bucket of the new leader begins empty.
  Wait(std::chrono::milliseconds(100));
  for (std::size_t i = 0; i < kHosts; ++i) {
    issuer->SendDatagram({AddressOf(i), kPeerPort}, Channel::kRouting,
                         EncodeRoutingMessage(QuotaGrantRequest{
                             1, {{CustomerId("c"), {1}, 0}}}));
  }
  CHECK_TRUE(RunUntil([&] { return !replies.empty(); }));
  Wait(std::chrono::milliseconds(100));
  LONGS_EQUAL(1, replies.size());
  LONGS_EQUAL(1, replies.begin()->second.grants.at(0).granted);
}

// Guards against a server whose leaving was confirmed and that is used again
// once all processes were killed and one disk was lost, be it that of the host
// that confirmed it (DRAIN).
TEST(RegistryProcess, ConfirmedLeavingIsOnTheDisksOfAMajority) {
  StartAll(true);
  CHECK_TRUE(CallUntil(200, "POST", "/routes/7", "seven"));
  CHECK_EQUAL(200, Call(0, "POST", "/servers/i-1/ready", "").status);
  const auto state_on_disk = [this](std::size_t host) {
    const ServerFile file(folder_ + "/control-" + std::to_string(host));
    const auto servers = file.Load();
    return servers && !servers.value().empty()
               ? std::optional(servers.value().at(0).state)
               : std::nullopt;
  };
  // Hosts that have just saved save again only some time later, unless asked.
  CHECK_TRUE(RunUntil([&] {
    return state_on_disk(0).has_value() && state_on_disk(1).has_value() &&
           state_on_disk(2).has_value();
  }));
  CHECK_EQUAL(200, Call(0, "POST", "/servers/i-1/leaving", "").status);
  for (auto& it : hosts_)
    it.reset();
  std::size_t disks = 0;
  for (std::size_t i = 0; i < kHosts; ++i)
    disks += state_on_disk(i) == ServerState::kLeaving ? 1 : 0;
  CHECK(disks >= kHosts / 2 + 1);
}

// Guards against a server that started again, left without naming its start
// and is used again once its late announcement arrives (DRAIN).
TEST(RegistryProcess, LateAnnouncementOfAStartThatLeftUnnamedIsNotReady) {
  StartAll(true);
  CHECK_TRUE(CallUntil(200, "POST", "/routes/7", "seven"));
  CHECK_EQUAL(200, Call(0, "POST", "/servers/i-1/ready", "").status);
  CHECK_EQUAL(200, Call(0, "POST", "/servers/i-1/gone", "").status);
  // To another host, from before the call.
  CHECK_EQUAL(200, Call(1, "POST", "/servers/i-1/again", "").status);
  Wait(kLateTime);
  for (std::size_t i = 0; i < kHosts; ++i) {
    const ServerFile file(folder_ + "/control-" + std::to_string(i));
    const auto servers = file.Load();
    CHECK(servers.value().at(0).born_ms > 1);
    CHECK(servers.value().at(0).state == ServerState::kGone);
  }
}

// Guards against a list that waits behind many servers on a slow link (CONFIG).
TEST(RegistryProcess, EntryHostGetsTheListBeforeTheServers) {
  StartAll(true);
  CHECK_TRUE(CallUntil(200, "POST", "/routes/7", "seven"));
  CHECK_TRUE(CallUntil(200, "POST", "/servers/i-1/ready", ""));
  std::vector<std::string> received;
  PeerTransport::Handlers handlers;
  handlers.on_frame = [&](const Frame& frame) {
    const auto message = DecodeRoutingMessage(frame.payload);
    const auto* update = std::get_if<RoutingUpdate>(&message.value());
    if (update != nullptr && update->routes.has_value())
      received.emplace_back("routes");
    else if (std::holds_alternative<DirectoryUpdate>(message.value()))
      received.emplace_back("servers");
  };
  handlers.on_link_failure = [](const Endpoint&, LinkFailure) {};
  const auto entry =
      std::move(OpenAddressTransport({"127.0.0.21", kEntryPeerPort},
                                     std::string(32, 'k'), std::move(handlers))
                    .value());
  DirectoryRequest request;
  request.heartbeat.data_centre = DataCentreId("a");
  request.follows = true;
  entry->Send({AddressOf(0), kPeerPort}, Channel::kRouting,
              EncodeRoutingMessage(request));
  CHECK_TRUE(RunUntil([&] { return received.size() >= 2; }));
  STRCMP_EQUAL("routes", received.front().c_str());
}

TEST(RegistryProcess, PlannedStopExitsWithZero) {
  StartAll(true);
  CHECK_TRUE(CallUntil(200, "POST", "/routes/7", "seven"));
  hosts_[1]->Stop();
  CHECK_TRUE(RunUntil([this] { return exit_code_.has_value(); }));
  CHECK_EQUAL(0, *exit_code_);
}

// Guards against hosts that end at each start while their disk is full.
TEST(RegistryProcess, HostThatStartsOnAFullDiskJoinsOnceThereIsRoom) {
  StartAll(true);
  CHECK_TRUE(CallUntil(200, "POST", "/routes/5", "five"));
  hosts_[2].reset();
  std::filesystem::remove_all(folder_ + "/control-2");
  {
    const FullDisks full;
    Start(2, false);
    Wait(std::chrono::milliseconds(700));
    CHECK_FALSE(exit_code_.has_value());
  }
  // It follows a leader.
  CHECK_TRUE(
      RunUntil([] { return Call(2, "GET", "/routes", "").status != 503; }));
  CHECK_TRUE(CallUntil(200, "POST", "/routes/6", "six"));
}

// Guards against changes that stay refused after all disks have room again.
TEST(RegistryProcess, ChangesAreTakenAgainAfterDisksWereFull) {
  StartAll(true);
  CHECK_TRUE(CallUntil(200, "POST", "/routes/5", "five"));
  for (int round = 0; round < 3; ++round) {
    const FullDisks full;
    for (std::size_t i = 0; i < kHosts; ++i)
      Call(i, "POST", "/routes/7", "never confirmed");
    Wait(std::chrono::milliseconds(900));
  }
  const TimePoint began = LoopNow();
  CHECK_TRUE(CallUntil(200, "POST", "/routes/8", "eight"));
  CHECK_TRUE(LoopNow() - began < kRecoveryTime);
}

// Guards against a host that ends at each start: it runs, says what is damaged
// and goes on once that is mended.
TEST(RegistryProcess, HostWithADamagedStoreRunsWithoutItUntilItIsMended) {
  StartAll(true);
  CHECK_TRUE(CallUntil(200, "POST", "/routes/5", "five"));
  hosts_[2].reset();
  const std::string store = folder_ + "/control-2/replica";
  const std::string aside = folder_ + "/aside";
  std::filesystem::rename(store + "/identity", aside);
  { std::ofstream(store + "/identity") << "damaged"; }
  Start(2, false);
  CHECK_EQUAL(503, Call(2, "GET", "/routes", "").status);
  CHECK_TRUE(CallUntil(200, "POST", "/routes/6", "six"));
  std::filesystem::rename(aside, store + "/identity");
  // It follows a leader again, or leads.
  CHECK_TRUE(
      RunUntil([] { return Call(2, "GET", "/routes", "").status != 503; }));
  CHECK_FALSE(exit_code_.has_value());
}

// A follower, or a leader without contact, doesn't know of the newest list; its
// answer would let a revoked key be used.
TEST(RegistryProcess, OnlyALeaderInContactTellsWhichListIsInForce) {
  StartAll(true);
  CHECK_TRUE(CallUntil(200, "POST", "/routes/7", "seven"));
  std::vector<KeyLeaseReply> replies;
  PeerTransport::Handlers frames;
  frames.on_frame = [&](const Frame& it) {
    const auto message = DecodeRoutingMessage(it.payload);
    if (const auto* reply = std::get_if<KeyLeaseReply>(&message.value()))
      replies.push_back(*reply);
  };
  frames.on_link_failure = [](const Endpoint&, LinkFailure) {};
  const auto entry =
      std::move(OpenAddressTransport({"127.0.0.19", kEntryPeerPort},
                                     std::string(32, 'k'), std::move(frames))
                    .value());
  const auto ask = [&](std::uint64_t number) {
    for (std::size_t i = 0; i < kHosts; ++i) {
      entry->SendDatagram({AddressOf(i), kPeerPort}, Channel::kRouting,
                          EncodeRoutingMessage(KeyLeaseRequest{number, 6}));
    }
  };
  ask(1);
  CHECK_TRUE(RunUntil([&] { return !replies.empty(); }));
  Wait(std::chrono::milliseconds(100));
  CHECK_EQUAL(1U, replies.size());
  CHECK((replies[0] == KeyLeaseReply{1, 7}));
  // Without a majority there is no leader with a lease.
  hosts_[1].reset();
  hosts_[2].reset();
  Wait(std::chrono::milliseconds(1500));
  replies.clear();
  ask(2);
  Wait(std::chrono::milliseconds(200));
  CHECK(replies.empty());
}

}  // namespace briarlead
