#ifndef BRIARLEAD_LISTS_PLAN_H_
#define BRIARLEAD_LISTS_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/rank.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// What a plan may use of one model or one plain service, and how urgently it
/// is served. The rates bound a customer's use in the whole fleet.
struct Entitlement {
  ModelId model;      ///< Set when the use is of a model.
  ServiceId service;  ///< Set when the use is of a plain service.
  Rank rank = Rank::kPatient;
  Duration first_token_target{};  ///< Target for the first token; models only.
  Duration token_gap_target{};    ///< Target between tokens; models only.
  Duration answer_target{};  ///< Target for the whole answer; services only.
  double requests_per_second = 0;
  double tokens_per_second = 0;  ///< Prompt and output; models only.
};

/// A plan that customers are on. Its bounds hold for each customer by itself.
struct Plan {
  PlanId id;
  std::uint32_t weight = 1;       ///< Share against other customers.
  std::uint32_t concurrency = 1;  ///< Requests in progress in the whole fleet.
  std::vector<Entitlement> entitlements;
};

/// A customer, the plan that it is on and the digest of its bearer key.
struct CustomerEntry {
  CustomerId id;
  PlanId plan;
  std::string key_sha256;  ///< 64 lower-case hexadecimal digits.
};

}  // namespace briarlead

#endif  // BRIARLEAD_LISTS_PLAN_H_
