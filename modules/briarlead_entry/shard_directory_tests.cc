#include "briarlead_entry/shard_directory.h"

#include <CppUTest/TestHarness.h>

namespace briarlead {

TEST_GROUP(ShardDirectory) {
  ShardDirectory directory_{DataCentreId("howrah")};
  ModelId model_{"summary"};
  RandomSource random_{1};
  TimePoint now_{std::chrono::seconds(5)};
  PeerName owner_{HostId("owner"), 7, {"127.0.0.1", 1}};

  void Describe(const char* data_centre, Duration wait, std::uint32_t slots) {
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
      const std::optional<DataCentreId>& tried = std::nullopt) {
    return directory_.ChooseElsewhere(model_, Rank::kPatient, tried, random_,
                                      now_);
  }
};

TEST(ShardDirectory, ARequestStaysAtHomeWhileItsShardHasNoWait) {
  Describe("howrah", Duration::zero(), 8);
  Describe("barasat", Duration::zero(), 8);
  CHECK_FALSE(Choose().has_value());
}

TEST(ShardDirectory, ARefusedRequestGoesToAShardWithAShorterWait) {
  Describe("howrah", std::chrono::seconds(30), 8);
  Describe("barasat", Duration::zero(), 8);
  const auto chosen = Choose(DataCentreId("howrah"));
  CHECK_TRUE(chosen.has_value());
  STRCMP_EQUAL("barasat", chosen->data_centre.value().c_str());
}

TEST(ShardDirectory, ADataCentreThatIsSilentIsLeftAlone) {
  Describe("barasat", Duration::zero(), 8);
  now_ += ShardDirectory::kSummaryLife;
  Describe("howrah", std::chrono::seconds(30), 8);
  CHECK_FALSE(Choose(DataCentreId("howrah")).has_value());
}

TEST(ShardDirectory, WhatWaitsAtAnOwnerThatWasReplacedCountsAsLost) {
  Describe("howrah", std::chrono::seconds(30), 8);
  Describe("barasat", Duration::zero(), 8);
  const ShardOwnerAddress asked = *Choose(DataCentreId("howrah"));
  CHECK_TRUE(directory_.StillOwns(asked, model_, now_));
  ++owner_.incarnation;
  Describe("barasat", Duration::zero(), 8);
  CHECK_FALSE(directory_.StillOwns(asked, model_, now_));
  --owner_.incarnation;
  Describe("barasat", Duration::zero(), 8);
  now_ += ShardDirectory::kSummaryLife;
  CHECK_FALSE(directory_.StillOwns(asked, model_, now_));
}

TEST(ShardDirectory, AShardWithoutEnginesIsNotChosen) {
  Describe("howrah", std::chrono::seconds(30), 8);
  Describe("barasat", Duration::zero(), 0);
  CHECK_FALSE(Choose(DataCentreId("howrah")).has_value());
}

}  // namespace briarlead
