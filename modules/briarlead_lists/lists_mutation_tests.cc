#include "briarlead_lists/parse_lists.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "briarlead_core/random_source.h"

namespace briarlead {

namespace {

constexpr const char* kPlans =
    R"({"plans":[{"plan":"p","weight":1,"concurrency":32,"uses":[
    {"model":"m","rank":"patient","first_token_ms":1200,"token_gap_ms":63,
     "requests_per_second":20,"tokens_per_second":20000},
    {"service":"s","rank":"urgent","answer_ms":500,"requests_per_second":50}
    ]}]})";
constexpr const char* kCustomers =
    R"({"customers":[{"customer":"c","plan":"p","key_sha256":
    "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"}]})";

/// Applies 1 to 4 random changes, each of which overwrites a byte, removes up
/// to 8 bytes, or inserts a copy of up to 16 bytes of the text.
std::string Mutate(std::string text, RandomSource& random) {
  const std::uint64_t changes = 1 + random.Below(4);
  for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
    const std::size_t position = random.Below(text.size());
    switch (random.Below(4)) {
      case 0:
        text[position] = static_cast<char>(random.Below(256));
        break;
      case 1:
        text.erase(position, 1 + random.Below(8));
        break;
      case 2:
        text.insert(position, text.substr(random.Below(text.size()), 16));
        break;
      default:
        text[position] = "{}[]\":,0-e"[random.Below(10)];
        break;
    }
  }
  return text;
}

}  // namespace

TEST_GROUP(ListsMutation){};

TEST(ListsMutation, MutatedListsAreAcceptedOrRefusedWithBoundedFindings) {
  RandomSource random(20);
  int refused = 0;
  for (int round = 0; round < 4000; ++round) {
    Findings findings;
    const auto lists = ParseLists(Mutate(kCustomers, random),
                                  Mutate(kPlans, random), findings);
    CHECK_EQUAL(lists.has_value(), findings.empty());
    CHECK_TRUE(findings.Format().size() < 4000);
    refused += lists.has_value() ? 0 : 1;
  }
  CHECK_TRUE(refused > 3000);
}

TEST(ListsMutation, EveryTruncationIsRefusedWithOneFinding) {
  const std::string plans = kPlans;
  for (std::size_t length = 0; length < plans.size(); ++length) {
    Findings findings;
    CHECK_FALSE(ParseLists(kCustomers, plans.substr(0, length), findings));
    LONGS_EQUAL(1, findings.items().size());
    STRCMP_EQUAL("plans.json", findings.items()[0].file.c_str());
  }
}

}  // namespace briarlead
