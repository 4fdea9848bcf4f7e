#include "briarlead_control/replica_driver.h"

#include <CppUTest/TestHarness.h>
#include <stdlib.h>

#include <filesystem>
#include <string>
#include <vector>

namespace briarlead {

namespace {

constexpr std::uint16_t kPort = 28641;

}  // namespace

TEST_GROUP(ReplicaDriver) {
  std::string folder_;
  std::vector<consensus::LogIndex> applied_;
  std::unique_ptr<PeerTransport> transport_;
  std::unique_ptr<consensus::FileStore> store_;
  std::unique_ptr<ReplicaDriver> driver_;
  TimePoint now_{std::chrono::seconds(1)};

  void setup() override {
    char name[] = "/tmp/briarlead_replica_XXXXXX";
    folder_ = mkdtemp(name);
    transport_ =
        std::move(
            PeerTransport::Open(
                {HostId("a"), 1, {"127.0.0.1", kPort}},
                FrameKey::FromSecret(std::string(32, 'k')).value(),
                {[](const Frame&) {}, [](const Endpoint&, LinkFailure) {}}))
            .value();
    consensus::FileStoreSettings settings;
    settings.folder = folder_ + "/replica";
    settings.cluster = consensus::ClusterId("test");
    settings.host = HostId("a");
    store_ = std::make_unique<consensus::FileStore>(settings);
    CHECK_TRUE(store_->Create(5, {{{HostId("a"), 5}}, {}}).has_value());
  }

  void teardown() override {
    driver_.reset();
    store_.reset();
    transport_.reset();
    std::filesystem::remove_all(folder_);
  }

  /// Starts a cluster of one member and waits until it leads.
  void StartAsLeader() {
    ReplicaDriver::Handlers handlers;
    handlers.on_apply = [this](const consensus::Apply& it) {
      applied_.push_back(it.index);
    };
    handlers.on_snapshot = [](const consensus::Snapshot&) {};
    handlers.on_role = [](const consensus::RoleChanged&) {};
    handlers.on_join = [](const consensus::ReplicaId&) {};
    handlers.on_disk_failure = [](const Error&) { FAIL("the disk failed"); };
    driver_ = std::make_unique<ReplicaDriver>(
        *store_, *transport_,
        [](const HostId&) { return std::optional<Endpoint>(); },
        std::move(handlers));
    driver_->Start({}, std::move(store_->Open()).value(), 1, now_);
    for (int it = 0; it < 100; ++it) {
      now_ += std::chrono::milliseconds(100);
      driver_->Tick(now_);
    }
    CHECK_TRUE(driver_->replica().role() == consensus::Role::kLeader);
    applied_.clear();
  }
};

TEST(ReplicaDriver, ProposeReturnsTheIndexBeforeTheEntryIsApplied) {
  StartAsLeader();
  const auto index = driver_->Propose("one", now_);
  CHECK_TRUE(index.has_value());
  CHECK_TRUE(applied_.empty());
  driver_->Pump();
  LONGS_EQUAL(1, applied_.size());
  LONGS_EQUAL(index.value(), applied_[0]);
}

}  // namespace briarlead
