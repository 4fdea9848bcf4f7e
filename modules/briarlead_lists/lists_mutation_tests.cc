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

/// Changes, drops, doubles or moves a few bytes.
std::string Mutate(std::string text, RandomSource& random) {
  const std::uint64_t changes = 1 + random.Below(4);
  for (std::uint64_t it = 0; it < changes && !text.empty(); ++it) {
    const std::size_t at = random.Below(text.size());
    switch (random.Below(4)) {
      case 0:
        text[at] = static_cast<char>(random.Below(256));
        break;
      case 1:
        text.erase(at, 1 + random.Below(8));
        break;
      case 2:
        text.insert(at, text.substr(random.Below(text.size()), 16));
        break;
      default:
        text[at] = "{}[]\":,0-e"[random.Below(10)];
        break;
    }
  }
  return text;
}

}  // namespace

TEST_GROUP(ListsMutation){};

TEST(ListsMutation, MutatedListsAreReadOrRefusedWithBoundedFindings) {
  RandomSource random(20);
  int refused = 0;
  for (int it = 0; it < 4000; ++it) {
    Findings findings;
    const auto lists = ParseLists(Mutate(kCustomers, random),
                                  Mutate(kPlans, random), findings);
    CHECK_EQUAL(lists.has_value(), findings.empty());
    CHECK_TRUE(findings.Format().size() < 4000);
    refused += lists.has_value() ? 0 : 1;
  }
  CHECK_TRUE(refused > 3000);
}

TEST(ListsMutation, EveryTruncationIsOneFinding) {
  const std::string plans = kPlans;
  for (std::size_t it = 0; it < plans.size(); ++it) {
    Findings findings;
    CHECK_FALSE(ParseLists(kCustomers, plans.substr(0, it), findings));
    LONGS_EQUAL(1, findings.items().size());
    STRCMP_EQUAL("plans.json", findings.items()[0].file.c_str());
  }
}

}  // namespace briarlead
