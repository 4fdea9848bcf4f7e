#include "briarlead_lists/parse_lists.h"

#include <fmt/format.h>

#include <array>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "briarlead_json/briarlead_json.h"
#include "briarlead_lists/sha256.h"

namespace briarlead {

namespace {

constexpr IntegerRange kWeightRange = {1, 1000};
constexpr IntegerRange kConcurrencyRange = {1, 1'000'000};
constexpr IntegerRange kTargetMsRange = {1, 3'600'000};
constexpr NumberRange kRequestRateRange = {0.001, 1e6};
constexpr NumberRange kTokenRateRange = {0.001, 1e9};
constexpr std::array<std::string_view, kRankCount> kRankNames = {"urgent",
                                                                 "patient"};

/// Remembers where each name or key stood first, and reports it when it comes
/// again.
class UniqueCheck {
 public:
  UniqueCheck(std::string_view what, Findings& findings)
      : what_(what), findings_(findings) {}

  /// Checks `text`, which stands at `place`; an empty text is passed over.
  void Check(const std::string& text, const JsonPlace& place) {
    if (text.empty())
      return;
    const auto [it, is_new] = first_place_.emplace(text, place.path);
    if (is_new)
      return;
    findings_.Add(place.file, place.path,
                  fmt::format("{} already stands at {}", what_, it->second));
  }

 private:
  std::string_view what_;
  Findings& findings_;
  std::unordered_map<std::string, std::string> first_place_;
};

/// A list as read from its file, before the references are checked.
template <typename Entry>
struct ReadList {
  std::vector<Entry> entries;
  /// False when so much was wrong that entries are missing from `entries`.
  bool is_complete = false;
};

CustomerEntry ReadCustomer(JsonObjectReader& reader) {
  CustomerEntry entry;
  entry.id = CustomerId(reader.Name("customer"));
  entry.plan = PlanId(reader.Name("plan"));
  entry.key_sha256 = reader.String("key_sha256", {64, 64});
  if (!entry.key_sha256.empty() && !IsSha256Hex(entry.key_sha256)) {
    reader.AddFinding("key_sha256",
                      "expected 64 lower-case hexadecimal digits: the SHA-256 "
                      "of the customer's key");
    entry.key_sha256.clear();
  }
  reader.ReportUnknownKeys();
  return entry;
}

void ReadModelUse(JsonObjectReader& reader, Use& use) {
  use.model = ModelId(reader.Name("model"));
  use.first_token = reader.Milliseconds("first_token_ms", kTargetMsRange);
  use.token_gap = reader.Milliseconds("token_gap_ms", kTargetMsRange);
  use.tokens_per_second = reader.Number("tokens_per_second", kTokenRateRange);
}

void ReadServiceUse(JsonObjectReader& reader, Use& use) {
  use.service = ServiceId(reader.Name("service"));
  use.answer = reader.Milliseconds("answer_ms", kTargetMsRange);
}

Use ReadUse(JsonObjectReader& reader) {
  Use use;
  const bool names_model = reader.Has("model");
  const bool names_service = reader.Has("service");
  if (names_model == names_service) {
    reader.AddFinding("expected either \"model\" or \"service\"");
    return use;
  }
  if (names_model)
    ReadModelUse(reader, use);
  else
    ReadServiceUse(reader, use);
  if (const auto choice = reader.Choice("rank", kRankNames))
    use.rank = kRanks[*choice];
  use.requests_per_second =
      reader.Number("requests_per_second", kRequestRateRange);
  reader.ReportUnknownKeys();
  return use;
}

void ReadUses(JsonObjectReader& reader, Findings& findings, Plan& plan) {
  UniqueCheck models("this model", findings);
  UniqueCheck services("this service", findings);
  const JsonPlace place = reader.PlaceOf("uses");
  for (const JsonValue& it : reader.Array("uses", {0, kMaxUsesInPlan})) {
    const JsonPlace use_place = place.Item(plan.uses.size());
    JsonObjectReader use_reader(it, use_place, findings);
    const Use& use = plan.uses.emplace_back(ReadUse(use_reader));
    models.Check(use.model.value(), use_place);
    services.Check(use.service.value(), use_place);
  }
}

Plan ReadPlan(JsonObjectReader& reader, Findings& findings) {
  Plan plan;
  plan.id = PlanId(reader.Name("plan"));
  plan.weight =
      static_cast<std::uint32_t>(reader.Integer("weight", kWeightRange));
  plan.concurrency = static_cast<std::uint32_t>(
      reader.Integer("concurrency", kConcurrencyRange));
  ReadUses(reader, findings, plan);
  reader.ReportUnknownKeys();
  return plan;
}

/// Reads the document {"<key>": [entries]}; `read` reads one entry.
template <typename Entry, typename Read>
ReadList<Entry> ReadDocument(std::string_view file,
                             std::string_view text,
                             std::string_view key,
                             std::size_t max_entries,
                             Findings& findings,
                             Read read) {
  const JsonLimits limits = {.max_bytes = kMaxListBytes};
  const auto document = ParseJson(file, text, limits, findings);
  if (!document)
    return {};
  ReadList<Entry> list;
  JsonObjectReader reader(*document, {std::string(file), ""}, findings);
  const std::size_t findings_before = findings.items().size();
  const auto items = reader.Array(key, {0, max_entries});
  list.is_complete = document->kind() == JsonKind::kObject &&
                     findings.items().size() == findings_before;
  for (const JsonValue& it : items) {
    const JsonPlace place = reader.PlaceOf(key).Item(list.entries.size());
    JsonObjectReader entry_reader(it, place, findings);
    list.entries.push_back(read(entry_reader));
  }
  reader.ReportUnknownKeys();
  return list;
}

ReadList<Plan> ReadPlans(std::string_view file,
                         std::string_view text,
                         Findings& findings) {
  UniqueCheck names("this plan", findings);
  return ReadDocument<Plan>(file, text, "plans", kMaxPlans, findings,
                            [&](JsonObjectReader& reader) {
                              Plan plan = ReadPlan(reader, findings);
                              names.Check(plan.id.value(), reader.place());
                              return plan;
                            });
}

ReadList<CustomerEntry> ReadCustomers(std::string_view file,
                                      std::string_view text,
                                      Findings& findings) {
  UniqueCheck names("this customer", findings);
  UniqueCheck keys("this key", findings);
  return ReadDocument<CustomerEntry>(
      file, text, "customers", kMaxCustomers, findings,
      [&](JsonObjectReader& reader) {
        CustomerEntry entry = ReadCustomer(reader);
        names.Check(entry.id.value(), reader.place());
        keys.Check(entry.key_sha256, reader.PlaceOf("key_sha256"));
        return entry;
      });
}

/// Reports each customer whose plan is in no list.
void CheckPlansExist(const Lists& lists,
                     std::string_view customers_file,
                     Findings& findings) {
  const JsonPlace place =
      JsonPlace{std::string(customers_file), ""}.Member("customers");
  for (std::size_t it = 0; it < lists.customers().size(); ++it) {
    const PlanId& plan = lists.customers()[it].plan;
    if (plan.empty() || lists.Find(plan) != nullptr)
      continue;
    findings.Add(customers_file, place.Item(it).Member("plan").path,
                 fmt::format("no plan \"{}\" stands in the list of plans",
                             plan.value()));
  }
}

}  // namespace

std::optional<Lists> ParseLists(std::string_view customers_text,
                                std::string_view plans_text,
                                Findings& findings,
                                const ListFileNames& names) {
  Findings found;
  auto customers = ReadCustomers(names.customers, customers_text, found);
  auto plans = ReadPlans(names.plans, plans_text, found);
  Lists lists(std::move(customers.entries), std::move(plans.entries));
  if (plans.is_complete)
    CheckPlansExist(lists, names.customers, found);
  findings.Append(found);
  if (!found.empty())
    return std::nullopt;
  return lists;
}

}  // namespace briarlead
