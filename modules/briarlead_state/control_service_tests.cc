#include "briarlead_state/control_service.h"

#include <CppUTest/TestHarness.h>

#include <optional>

namespace briarlead {
namespace {

constexpr PeerId kOperator = 1;
constexpr PeerId kHost = 2;

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::milliseconds(milliseconds));
}

/// Stores the proposals until the test applies them.
struct FakeProposer {
  Result<std::uint64_t> Propose(std::string payload, TimePoint /*now*/) {
    if (!available)
      return Fail(ErrorCode::kUnavailable, "no majority");
    entries.push_back(std::move(payload));
    return entries.size();
  }

  bool available = true;
  std::vector<std::string> entries;
};

ControlRequest Change(std::uint64_t number,
                      std::uint64_t base,
                      const char* plans,
                      const char* operator_name) {
  return {number, ApplyLists{base, std::nullopt, plans, operator_name, "", 9}};
}

}  // namespace

TEST_GROUP(ControlService) {
  FakeProposer proposer_;
  StateMachine machine_;
  ControlService<FakeProposer> service_{
      proposer_,
      machine_,
      {.self = HostId("c1"),
       .data_centres = {DataCentreId("bangna"), DataCentreId("howrah")},
       .check = [](std::string_view customers, std::string_view plans) {
         Findings findings;
         if (plans == "bad" || (customers == "no plans" && !plans.empty()))
           findings.Add("plans", "plans[0]", "not a plan");
         return findings;
       }}};
  std::size_t applied_ = 0;

  void setup() override {
    service_.OnLeadership(1, At(0));
  }

  void ApplyAll(TimePoint now) {
    while (applied_ < proposer_.entries.size()) {
      const std::uint64_t index = ++applied_;
      const StateOutcome outcome =
          machine_.Apply(index, proposer_.entries[index - 1]);
      service_.OnApplied(index, 1, outcome, now);
    }
  }

  /// Returns the answer to request `number`; fails unless there is exactly one.
  ControlAnswerBody AnswerTo(std::uint64_t number) {
    std::optional<ControlAnswerBody> answer;
    for (const SendControlAnswer& it : service_.TakeCommands()) {
      if (it.answer.number != number)
        continue;
      CHECK_FALSE(answer.has_value());
      answer = it.answer.body;
    }
    CHECK_TRUE(answer.has_value());
    return answer.value_or(RequestRefused{});
  }
};

TEST(ControlService, AnswersOnlyAfterTheEntryIsApplied) {
  service_.OnRequest(kOperator, Change(7, 0, "p", "asha"), At(1));
  CHECK_TRUE(service_.TakeCommands().empty());
  ApplyAll(At(2));
  const auto result = std::get<ApplyListsResult>(AnswerTo(7));
  CHECK_TRUE(result.verdict == ApplyVerdict::kAccepted);
}

TEST(ControlService, LostLeadershipReportsMayHaveCommitted) {
  service_.OnRequest(kOperator, Change(7, 0, "p", "asha"), At(1));
  service_.OnLeadershipLost(HostId("c2"));
  const auto refused = std::get<RequestRefused>(AnswerTo(7));
  CHECK_TRUE(refused.reason == RefusalReason::kUnavailable);
  CHECK_TRUE(refused.may_have_committed);
  // When the entry is committed after all, there is no second answer.
  ApplyAll(At(2));
  CHECK_TRUE(service_.TakeCommands().empty());
}

TEST(ControlService, EntryOfAnotherTermAtTheIndexRefusesTheRequest) {
  service_.OnRequest(kOperator, Change(7, 0, "p", "asha"), At(1));
  const ApplyListsResult other{ApplyVerdict::kAccepted, {1, "ravi", 9}, 1};
  service_.OnApplied(proposer_.entries.size(), 2, other, At(2));
  const ControlAnswerBody answer = AnswerTo(7);
  CHECK_TRUE(std::holds_alternative<RequestRefused>(answer));
  CHECK_FALSE(std::get<RequestRefused>(answer).may_have_committed);
}

TEST(ControlService, RejectedProposalIsReportedAsNotCommitted) {
  proposer_.available = false;
  service_.OnRequest(kOperator, Change(7, 0, "p", "asha"), At(1));
  CHECK_FALSE(std::get<RequestRefused>(AnswerTo(7)).may_have_committed);
}

TEST(ControlService, PendingRequestIsRefusedAfterTheTimeout) {
  service_.OnRequest(kOperator, Change(7, 0, "p", "asha"), At(1));
  service_.Tick(At(4000));
  CHECK_TRUE(service_.TakeCommands().empty());
  service_.Tick(At(4001));
  CHECK_TRUE(std::get<RequestRefused>(AnswerTo(7)).may_have_committed);
}

TEST(ControlService, ListsWithFindingsAreNotProposed) {
  const std::size_t before = proposer_.entries.size();
  service_.OnRequest(kOperator, Change(7, 0, "bad", "asha"), At(1));
  const auto refused = std::get<RequestRefused>(AnswerTo(7));
  CHECK_TRUE(refused.reason == RefusalReason::kInvalidLists);
  LONGS_EQUAL(1, refused.findings.size());
  LONGS_EQUAL(before, proposer_.entries.size());
}

TEST(ControlService, BaseAboveTheCurrentRevisionIsNotProposed) {
  service_.OnRequest(kOperator, Change(7, 0, "p", "asha"), At(1));
  // This change is valid against the current lists, but not against those of
  // its base revision.
  service_.OnRequest(
      kOperator, {8, ApplyLists{1, "no plans", std::nullopt, "ravi", "", 9}},
      At(1));
  ApplyAll(At(2));
  STRCMP_EQUAL("", machine_.lists().in_force().customers.c_str());
}

TEST(ControlService, PushesUntilTheRevisionIsInForceOnTheHost) {
  const ListsHeartbeat heartbeat{HostId("e1"), DataCentreId("howrah"), 1, 0};
  service_.OnRequest(kHost, {1, heartbeat}, At(0));
  service_.OnRequest(kOperator, Change(7, 0, "p", "asha"), At(1));
  ApplyAll(At(2));
  LONGS_EQUAL(1, std::get<ListsInForce>(AnswerTo(0)).revision);
  service_.Tick(At(500));
  CHECK_TRUE(service_.TakeCommands().empty());
  service_.Tick(At(1002));
  LONGS_EQUAL(1, std::get<ListsInForce>(AnswerTo(0)).revision);
  service_.OnRequest(
      kHost, {2, ListsHeartbeat{HostId("e1"), DataCentreId("howrah"), 1, 1}},
      At(1003));
  service_.Tick(At(3000));
  CHECK_TRUE(service_.TakeCommands().empty());
}

TEST(ControlService, ReachListsDataCentresThatWereNotReached) {
  const DataCentreId howrah("howrah");
  service_.OnRequest(kHost, {1, ListsHeartbeat{HostId("e1"), howrah, 1, 1}},
                     At(0));
  service_.OnRequest(kHost, {1, ListsHeartbeat{HostId("e2"), howrah, 1, 0}},
                     At(0));
  const auto reached = [this](TimePoint now) {
    const ReachReport report = service_.Reach(1, now);
    STRCMP_EQUAL("bangna", report.data_centres[0].data_centre.value().c_str());
    CHECK_FALSE(report.data_centres[0].reached);
    return report.data_centres[1].reached;
  };
  CHECK_FALSE(reached(At(1)));
  service_.OnRequest(kHost, {1, ListsHeartbeat{HostId("e2"), howrah, 1, 1}},
                     At(2));
  CHECK_TRUE(reached(At(3)));
  CHECK_FALSE(reached(At(5000)));
}

TEST(ControlService, NonLeaderNamesTheLeader) {
  service_.OnLeadershipLost(HostId("c2"));
  service_.OnRequest(kOperator, Change(7, 0, "p", "asha"), At(1));
  const auto refused = std::get<RequestRefused>(AnswerTo(7));
  CHECK_TRUE(refused.reason == RefusalReason::kNotLeader);
  STRCMP_EQUAL("c2", refused.leader.value().c_str());
}

}  // namespace briarlead
