#include "briarlead_lists/parse_lists.h"

#include <fmt/format.h>

#include <array>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "briarlead_accounts/sha256.h"
#include "briarlead_json/briarlead_json.h"

namespace briarlead {

namespace {

constexpr IntegerRange kWeightRange = {1, 1000};
constexpr IntegerRange kConcurrencyRange = {1, 1'000'000};
constexpr IntegerRange kTargetMsRange = {1, 3'600'000};
constexpr NumberRange kRequestRateRange = {0.001, 1e6};
constexpr NumberRange kTokenRateRange = {0.001, 1e9};
constexpr std::array<std::string_view, kRankCount> kRankNames = {"urgent",
                                                                 "patient"};

/// Records the first place of each name or key, and adds a finding for each
/// repetition.
class DuplicateCheck {
 public:
  DuplicateCheck(std::string_view what, Findings& findings)
      : what_(what), findings_(findings) {}

  /// Checks `text`, which was read at `place`. Ignores an empty text: reading
  /// it has already added a finding, or the key does not apply.
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

/// The entries of one list file, before references to the other list are
/// checked.
template <typename Entry>
struct ParsedList {
  std::vector<Entry> entries;
  /// False if the file could not be parsed or its array could not be read, so
  /// that `entries` lacks entries.
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

void ReadModelEntitlement(JsonObjectReader& reader, Entitlement& entitlement) {
  entitlement.model = ModelId(reader.Name("model"));
  entitlement.first_token_target =
      reader.Milliseconds("first_token_ms", kTargetMsRange);
  entitlement.token_gap_target =
      reader.Milliseconds("token_gap_ms", kTargetMsRange);
  entitlement.tokens_per_second =
      reader.Number("tokens_per_second", kTokenRateRange);
}

void ReadServiceEntitlement(JsonObjectReader& reader,
                            Entitlement& entitlement) {
  entitlement.service = ServiceId(reader.Name("service"));
  entitlement.answer_target = reader.Milliseconds("answer_ms", kTargetMsRange);
}

Entitlement ReadEntitlement(JsonObjectReader& reader) {
  Entitlement entitlement;
  const bool names_model = reader.Has("model");
  const bool names_service = reader.Has("service");
  if (names_model == names_service) {
    reader.AddFinding("expected either \"model\" or \"service\"");
    return entitlement;
  }
  if (names_model)
    ReadModelEntitlement(reader, entitlement);
  else
    ReadServiceEntitlement(reader, entitlement);
  if (const auto choice = reader.Choice("rank", kRankNames))
    entitlement.rank = kRanks[*choice];
  entitlement.requests_per_second =
      reader.Number("requests_per_second", kRequestRateRange);
  reader.ReportUnknownKeys();
  return entitlement;
}

void ReadEntitlements(JsonObjectReader& reader,
                      Findings& findings,
                      Plan& plan) {
  DuplicateCheck models("this model", findings);
  DuplicateCheck services("this service", findings);
  const JsonPlace place = reader.PlaceOf("uses");
  for (const JsonValue& item :
       reader.Array("uses", {0, kMaxEntitlementsPerPlan})) {
    const JsonPlace entitlement_place = place.Item(plan.entitlements.size());
    JsonObjectReader entitlement_reader(item, entitlement_place, findings);
    const Entitlement& entitlement =
        plan.entitlements.emplace_back(ReadEntitlement(entitlement_reader));
    models.Check(entitlement.model.value(), entitlement_place);
    services.Check(entitlement.service.value(), entitlement_place);
  }
}

Plan ReadPlan(JsonObjectReader& reader, Findings& findings) {
  Plan plan;
  plan.id = PlanId(reader.Name("plan"));
  plan.weight =
      static_cast<std::uint32_t>(reader.Integer("weight", kWeightRange));
  plan.concurrency = static_cast<std::uint32_t>(
      reader.Integer("concurrency", kConcurrencyRange));
  ReadEntitlements(reader, findings, plan);
  reader.ReportUnknownKeys();
  return plan;
}

/// Reads the document {"<key>": [entries]}. `read_entry` reads one entry.
template <typename Entry, typename ReadEntry>
ParsedList<Entry> ReadDocument(std::string_view file,
                               std::string_view text,
                               std::string_view key,
                               std::size_t max_entries,
                               Findings& findings,
                               ReadEntry read_entry) {
  const JsonLimits limits = {.max_bytes = kMaxListBytes};
  const auto document = ParseJson(file, text, limits, findings);
  if (!document)
    return {};
  ParsedList<Entry> list;
  JsonObjectReader reader(*document, {std::string(file), ""}, findings);
  const std::size_t findings_before = findings.items().size();
  const auto items = reader.Array(key, {0, max_entries});
  list.is_complete = document->kind() == JsonKind::kObject &&
                     findings.items().size() == findings_before;
  for (const JsonValue& item : items) {
    const JsonPlace place = reader.PlaceOf(key).Item(list.entries.size());
    JsonObjectReader entry_reader(item, place, findings);
    list.entries.push_back(read_entry(entry_reader));
  }
  reader.ReportUnknownKeys();
  return list;
}

ParsedList<Plan> ReadPlans(std::string_view file,
                           std::string_view text,
                           Findings& findings) {
  DuplicateCheck names("this plan", findings);
  return ReadDocument<Plan>(file, text, "plans", kMaxPlans, findings,
                            [&](JsonObjectReader& reader) {
                              Plan plan = ReadPlan(reader, findings);
                              names.Check(plan.id.value(), reader.place());
                              return plan;
                            });
}

ParsedList<CustomerEntry> ReadCustomers(std::string_view file,
                                        std::string_view text,
                                        Findings& findings) {
  DuplicateCheck names("this customer", findings);
  DuplicateCheck keys("this key", findings);
  return ReadDocument<CustomerEntry>(
      file, text, "customers", kMaxCustomers, findings,
      [&](JsonObjectReader& reader) {
        CustomerEntry entry = ReadCustomer(reader);
        names.Check(entry.id.value(), reader.place());
        keys.Check(entry.key_sha256, reader.PlaceOf("key_sha256"));
        return entry;
      });
}

/// Adds a finding for each customer whose plan is not in the list of plans.
void CheckPlansExist(const Lists& lists,
                     std::string_view customers_file,
                     Findings& findings) {
  const JsonPlace place =
      JsonPlace{std::string(customers_file), ""}.Member("customers");
  for (std::size_t i = 0; i < lists.customers().size(); ++i) {
    const PlanId& plan = lists.customers()[i].plan;
    if (plan.empty() || lists.Find(plan) != nullptr)
      continue;
    findings.Add(customers_file, place.Item(i).Member("plan").path,
                 fmt::format("no plan \"{}\" stands in the list of plans",
                             plan.value()));
  }
}

}  // namespace

std::optional<Lists> ParseLists(std::string_view customers_text,
                                std::string_view plans_text,
                                Findings& findings,
                                const ListFileNames& names) {
  Findings own_findings;
  auto customers = ReadCustomers(names.customers, customers_text, own_findings);
  auto plans = ReadPlans(names.plans, plans_text, own_findings);
  Lists lists(std::move(customers.entries), std::move(plans.entries));
  if (plans.is_complete)
    CheckPlansExist(lists, names.customers, own_findings);
  findings.Append(own_findings);
  if (!own_findings.empty())
    return std::nullopt;
  return lists;
}

}  // namespace briarlead
