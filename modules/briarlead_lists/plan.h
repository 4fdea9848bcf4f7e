#ifndef BRIARLEAD_LISTS_PLAN_H_
#define BRIARLEAD_LISTS_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/rank.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// What a plan permits of one model or one plain HTTP service: the priority and
/// latency targets of its requests, and rate limits. The limits apply to the
/// sum of a customer's requests over the whole fleet.
struct Entitlement {
  ModelId model;      ///< Empty if this is for a service.
  ServiceId service;  ///< Empty if this is for a model.
  Rank rank = Rank::kPatient;
  Duration first_token_target{};  ///< Until the first token; models only.
  Duration token_gap_target{};    ///< Between two tokens; models only.
  Duration answer_target{};       ///< Until the whole answer; services only.
  double requests_per_second = 0;
  double tokens_per_second = 0;  ///< Prompt and output tokens; models only.
};

/// A plan that customers subscribe to. Its limits apply to each customer
/// separately.
struct Plan {
  PlanId id;
  std::uint32_t weight = 1;  ///< Relative share of each customer on this plan.
  /// Limit of requests in progress in the whole fleet.
  std::uint32_t concurrency = 1;
  std::vector<Entitlement> entitlements;
};

/// A customer, its plan and the digest of its bearer key.
struct CustomerEntry {
  CustomerId id;
  PlanId plan;
  std::string key_sha256;  ///< 64 lower-case hexadecimal digits.
};

}  // namespace briarlead

#endif  // BRIARLEAD_LISTS_PLAN_H_
