#include "briarlead_entry/shard_directory.h"

#include <CppUTest/TestHarness.h>

namespace briarlead {

TEST_GROUP(ShardDirectory) {
  ShardDirectory directory_{DataCentreId("howrah")};
  ModelId model_{"summary"};
  RandomSource random_{1};
  TimePoint now_{std::chrono::seconds(5)};
  PeerName owner_{HostId("owner"), 7, {"127.0.0.1", 1}};

  void AddSummary(const char* data_centre, Duration wait, std::uint32_t slots) {
    ShardSummary summary;
    summary.data_centre = DataCentreId(data_centre);
    summary.model = model_;
    summary.decode_slots = slots;
    summary.free_decode_slots = wait > Duration::zero() ? 0 : slots;
    summary.queued_patient = wait > Duration::zero() ? 50 : 0;
    summary.expected_urgent_wait = wait;
    summary.expected_patient_wait = wait;
    directory_.OnSummary(summary, owner_, now_);
  }

  std::optional<ShardOwnerAddress> Choose(
      const std::optional<DataCentreId>& refused_by = std::nullopt) {
    return directory_.ChooseRemoteShard(model_, Rank::kPatient, refused_by,
                                        random_, now_);
  }
};

TEST(ShardDirectory, ARequestStaysInItsDataCentreWhileItsShardHasNoWait) {
  AddSummary("howrah", Duration::zero(), 8);
  AddSummary("barasat", Duration::zero(), 8);
  CHECK_FALSE(Choose().has_value());
}

TEST(ShardDirectory, ARefusedRequestGoesToAShardWithAShorterWait) {
  AddSummary("howrah", std::chrono::seconds(30), 8);
  AddSummary("barasat", Duration::zero(), 8);
  const auto chosen = Choose(DataCentreId("howrah"));
  CHECK_TRUE(chosen.has_value());
  STRCMP_EQUAL("barasat", chosen->data_centre.value().c_str());
}

TEST(ShardDirectory, AShardWithAnExpiredSummaryIsNotChosen) {
  AddSummary("barasat", Duration::zero(), 8);
  now_ += ShardDirectory::kSummaryLifetime;
  AddSummary("howrah", std::chrono::seconds(30), 8);
  CHECK_FALSE(Choose(DataCentreId("howrah")).has_value());
}

TEST(ShardDirectory, AReplacedOrExpiredOwnerNoLongerOwnsItsShard) {
  AddSummary("howrah", std::chrono::seconds(30), 8);
  AddSummary("barasat", Duration::zero(), 8);
  const ShardOwnerAddress chosen = *Choose(DataCentreId("howrah"));
  CHECK_TRUE(directory_.StillOwns(chosen, model_, now_));
  ++owner_.incarnation;
  AddSummary("barasat", Duration::zero(), 8);
  CHECK_FALSE(directory_.StillOwns(chosen, model_, now_));
  --owner_.incarnation;
  AddSummary("barasat", Duration::zero(), 8);
  now_ += ShardDirectory::kSummaryLifetime;
  CHECK_FALSE(directory_.StillOwns(chosen, model_, now_));
}

TEST(ShardDirectory, AShardWithoutEnginesIsNotChosen) {
  AddSummary("howrah", std::chrono::seconds(30), 8);
  AddSummary("barasat", Duration::zero(), 0);
  CHECK_FALSE(Choose(DataCentreId("howrah")).has_value());
}

}  // namespace briarlead
