#include "briarlead_gateway/gateway_metrics.h"

#include <fmt/format.h>

namespace briarlead {

namespace {

constexpr int kUnavailable = 503;

}  // namespace

GatewayMetrics::GatewayMetrics()
    : by_server_(metrics_.AddCounter("briarlead_answers_by_server_total",
                                     "Requests answered by a server.")),
      refused_(metrics_.AddCounter("briarlead_answers_refused_total",
                                   "Requests refused as not run.")),
      failed_(metrics_.AddCounter("briarlead_answers_failed_total",
                                  "Requests answered with 502 or 504.")),
      cut_off_(metrics_.AddCounter("briarlead_streams_cut_off_total",
                                   "Streams that were cut off.")),
      callers_gone_(metrics_.AddCounter("briarlead_callers_gone_total",
                                        "Callers that left early.")),
      sends_(metrics_.AddCounter("briarlead_sends_total",
                                 "Sends to backend servers that ended.")),
      sends_failed_(metrics_.AddCounter(
          "briarlead_sends_failed_total",
          "Sends without a complete response of the server.")),
      sends_refused_(metrics_.AddCounter("briarlead_sends_refused_total",
                                         "Sends that the server didn't run.")),
      ejections_(metrics_.AddCounter("briarlead_ejections_total",
                                     "Servers left alone for a time.")),
      no_owner_(metrics_.AddCounter(
          "briarlead_no_owner_total",
          "Model requests that no owner of the engines answered.")),
      answer_time_(metrics_.AddHistogram("briarlead_answer_seconds",
                                         "From arrival to the answer's end.")),
      first_event_time_(
          metrics_.AddHistogram("briarlead_first_event_seconds",
                                "From arrival to the first event.")),
      engine_wait_(metrics_.AddHistogram("briarlead_engine_wait_seconds",
                                         "Wait for room on an engine.")),
      event_gap_(metrics_.AddHistogram("briarlead_longest_event_gap_seconds",
                                       "Longest gap between two events.")),
      routes_version_(metrics_.AddGauge("briarlead_routes_version",
                                        "List of routes in force.")),
      servers_(metrics_.AddGauge("briarlead_servers", "Servers known.")),
      requests_(metrics_.AddGauge("briarlead_requests_in_progress",
                                  "Requests in progress.")),
      entry_hosts_(metrics_.AddGauge("briarlead_entry_hosts_known",
                                     "Entry hosts known.")),
      control_hosts_(metrics_.AddGauge("briarlead_control_hosts_known",
                                       "Control hosts known.")),
      connections_opened_(
          metrics_.AddGauge("briarlead_connections_opened",
                            "Connections opened to backend servers.")),
      owns_engines_(metrics_.AddGauge("briarlead_owns_engines",
                                      "1 while an owner of the engines.")),
      waiting_placements_(
          metrics_.AddGauge("briarlead_waiting_placements",
                            "Waiting model requests of other hosts.")),
      blocked_suspects_(metrics_.AddGauge(
          "briarlead_blocked_suspects",
          "Parts of prompts that end the engines answering them.")),
      limited_servers_(metrics_.AddGauge(
          "briarlead_limited_servers",
          "Servers that named a limit to their rate of requests.")),
      waiting_for_slots_(metrics_.AddGauge(
          "briarlead_waiting_for_slots",
          "Plain requests of all hosts that wait for a slot here.")),
      granted_slots_(metrics_.AddGauge(
          "briarlead_granted_slots",
          "Slots of plain services' servers that this host has granted.")),
      relayed_sends_(
          metrics_.AddCounter("briarlead_relayed_sends_total",
                              "Requests sent through another entry host.")),
      relayed_for_others_(metrics_.AddGauge(
          "briarlead_relayed_for_others",
          "Requests that this host has passed on for other entry hosts.")),
      cut_off_from_servers_(metrics_.AddGauge(
          "briarlead_cut_off_from_servers",
          "1 while servers are down and none answers this host.")),
      key_lease_age_(metrics_.AddGauge(
          "briarlead_key_lease_age_seconds",
          "Time since the list was last known to be in force; -1 if keys don't "
          "need that, or it never was.")),
      list_age_(metrics_.AddGauge(
          "briarlead_list_age_seconds",
          "Time since the list was last known to be in force; -1 if it never "
          "was.")),
      list_may_be_old_(metrics_.AddCounter("briarlead_list_may_be_old_total",
                                           "Requests with an unknown route or "
                                           "key that were answered with 503.")),
      retries_(metrics_.AddGauge("briarlead_retries_taken",
                                 "Retries taken from the budget so far.")),
      retries_refused_(metrics_.AddGauge(
          "briarlead_retries_refused",
          "Retries for which the budget had no room so far.")),
      retries_beyond_budget_(
          metrics_.AddGauge("briarlead_retries_beyond_budget",
                            "Retries taken beyond the budget so far.")),
      ready_(metrics_.AddGauge("briarlead_ready", "1 while ready.")),
      memory_budget_(metrics_.AddGauge(
          "briarlead_memory_budget_bytes",
          "Bytes that may be held for callers and servers.")) {
  for (std::size_t i = 0; i < kMemoryKinds; ++i) {
    memory_bytes_[i] = metrics_.AddGauge(
        fmt::format("briarlead_memory_{}_bytes",
                    ToString(static_cast<MemoryKind>(i))),
        "Bytes of this kind that are held for callers and servers.");
  }
  for (std::size_t i = 0; i < kMemoryRefusals; ++i) {
    memory_refusals_[i] = metrics_.AddGauge(
        fmt::format("briarlead_refused_{}",
                    ToString(static_cast<MemoryRefusal>(i))),
        "Requests refused or connections closed for this cause so far.");
  }
}

void GatewayMetrics::OnAnswered(int status,
                                bool from_server,
                                Duration took,
                                const ForwardSummary& summary) {
  if (from_server)
    metrics_.Increment(by_server_);
  else if (status == 0)
    metrics_.Increment(cut_off_);
  else
    metrics_.Increment(status == kUnavailable ? refused_ : failed_);
  metrics_.Observe(answer_time_, took);
  if (summary.waited > Duration::zero())
    metrics_.Observe(engine_wait_, summary.waited);
  if (summary.first_event == Duration::zero())
    return;
  metrics_.Observe(first_event_time_, summary.first_event);
  metrics_.Observe(event_gap_, summary.longest_gap);
}

void GatewayMetrics::OnCallerGone() {
  metrics_.Increment(callers_gone_);
}

void GatewayMetrics::OnAttempt(AttemptOutcome outcome, bool ejected) {
  metrics_.Increment(sends_);
  if (ejected)
    metrics_.Increment(ejections_);
  switch (outcome) {
    case AttemptOutcome::kServed:
    case AttemptOutcome::kServerError:
    case AttemptOutcome::kWithdrawn:
      return;
    case AttemptOutcome::kRefused:
    case AttemptOutcome::kWrongServer:
    case AttemptOutcome::kNotRelayed:
      metrics_.Increment(sends_refused_);
      return;
    case AttemptOutcome::kNotConnected:
    case AttemptOutcome::kBroken:
    case AttemptOutcome::kTimedOut:
      metrics_.Increment(sends_failed_);
      return;
  }
}

void GatewayMetrics::OnRelayed() {
  metrics_.Increment(relayed_sends_);
}

void GatewayMetrics::OnListMayBeOld() {
  metrics_.Increment(list_may_be_old_);
}

void GatewayMetrics::OnAccountRequest(const CustomerId& account,
                                      AccountOutcome outcome) {
  accounts_.Add(account, outcome);
}

void GatewayMetrics::OnNoOwner() {
  metrics_.Increment(no_owner_);
}

std::string GatewayMetrics::Render(const GatewayState& state) {
  metrics_.Set(routes_version_, static_cast<double>(state.routes_version));
  metrics_.Set(servers_, static_cast<double>(state.servers));
  metrics_.Set(requests_, static_cast<double>(state.requests));
  metrics_.Set(entry_hosts_, static_cast<double>(state.entry_hosts));
  metrics_.Set(control_hosts_, static_cast<double>(state.control_hosts));
  metrics_.Set(connections_opened_,
               static_cast<double>(state.connections_opened));
  metrics_.Set(owns_engines_, state.owns_engines ? 1 : 0);
  metrics_.Set(waiting_placements_,
               static_cast<double>(state.waiting_placements));
  metrics_.Set(blocked_suspects_, static_cast<double>(state.blocked_suspects));
  metrics_.Set(limited_servers_, static_cast<double>(state.limited_servers));
  metrics_.Set(waiting_for_slots_,
               static_cast<double>(state.waiting_for_slots));
  metrics_.Set(granted_slots_, static_cast<double>(state.granted_slots));
  metrics_.Set(relayed_for_others_,
               static_cast<double>(state.relayed_for_others));
  metrics_.Set(cut_off_from_servers_, state.cut_off_from_servers ? 1 : 0);
  metrics_.Set(key_lease_age_, state.key_lease_age.has_value()
                                   ? ToSeconds(*state.key_lease_age)
                                   : -1);
  metrics_.Set(list_age_,
               state.list_age.has_value() ? ToSeconds(*state.list_age) : -1);
  metrics_.Set(retries_, static_cast<double>(state.retries.taken));
  metrics_.Set(retries_refused_, static_cast<double>(state.retries.refused));
  metrics_.Set(retries_beyond_budget_,
               static_cast<double>(state.retries.beyond_budget));
  metrics_.Set(ready_, state.ready ? 1 : 0);
  if (state.memory != nullptr)
    SetMemory(*state.memory);
  return metrics_.Render() + accounts_.Render();
}

void GatewayMetrics::SetMemory(const MemoryBudget& memory) {
  metrics_.Set(memory_budget_, static_cast<double>(memory.budget_bytes()));
  for (std::size_t i = 0; i < kMemoryKinds; ++i) {
    metrics_.Set(memory_bytes_[i],
                 static_cast<double>(memory.bytes(static_cast<MemoryKind>(i))));
  }
  for (std::size_t i = 0; i < kMemoryRefusals; ++i) {
    metrics_.Set(
        memory_refusals_[i],
        static_cast<double>(memory.refused(static_cast<MemoryRefusal>(i))));
  }
}

}  // namespace briarlead
