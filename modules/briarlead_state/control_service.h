#ifndef BRIARLEAD_STATE_CONTROL_SERVICE_H_
#define BRIARLEAD_STATE_CONTROL_SERVICE_H_

#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "briarlead_core/error.h"
#include "briarlead_core/findings.h"
#include "briarlead_core/time.h"
#include "briarlead_state/control_message.h"
#include "briarlead_state/state_machine.h"
#include "briarlead_state/subscriber_table.h"

namespace briarlead {

/// A type that proposes payloads for the replicated log. Propose() returns the
/// index that the entry will have if it is committed, or an error when the
/// payload was not accepted.
template <typename T>
concept Proposer = requires(T& proposer, std::string payload, TimePoint now) {
  {
    proposer.Propose(std::move(payload), now)
    } -> std::same_as<Result<std::uint64_t>>;
};

/// Validates the lists as they would be after a change; returns every fault.
using ListsCheck =
    std::function<Findings(std::string_view customers, std::string_view plans)>;

/// Configuration of a ControlService.
struct ControlServiceOptions {
  HostId self;
  std::vector<DataCentreId> data_centres;
  ListsCheck check;
  /// Maximum number of requests that wait for their log entry.
  std::size_t max_pending = 10'000;
  /// Time after which a pending request is refused as kUnavailable.
  Duration pending_timeout = std::chrono::seconds(4);
  /// Time without proposals after which the replicated clock is advanced.
  Duration clock_interval = std::chrono::seconds(30);
};

/// Sends `answer` over connection `peer`.
struct SendControlAnswer {
  PeerId peer = 0;
  ControlAnswer answer;
};

/// Handles the requests to a control process, without I/O. It proposes the
/// commands of entry hosts and operators, answers once the log entry is
/// applied, pushes accepted lists, and tracks where they are in force. Only the
/// leader accepts commands and reads of claims; every control process pushes
/// lists.
template <Proposer P>
class ControlService {
 public:
  /// `proposer` and `machine` must outlive the service.
  ControlService(P& proposer,
                 const StateMachine& machine,
                 ControlServiceOptions options)
      : proposer_(proposer),
        machine_(machine),
        options_(std::move(options)),
        subscribers_(options_.data_centres) {}

  /// This process leads `term` and has applied all entries of earlier terms.
  void OnLeadership(std::uint64_t term, TimePoint now);

  /// This process is no longer the leader. Pending requests are refused with
  /// `may_have_committed` set. `leader` is the new leader, or empty when
  /// unknown.
  void OnLeadershipLost(const HostId& leader);

  /// Sets the leader that is named in refusals; empty when unknown.
  void SetLeader(const HostId& leader) { leader_ = leader; }

  /// Handles a request that arrived over connection `peer`.
  void OnRequest(PeerId peer, const ControlRequest& request, TimePoint now);

  /// The log entry at `index`, of `term`, was applied with `outcome`.
  void OnApplied(std::uint64_t index,
                 std::uint64_t term,
                 const StateOutcome& outcome,
                 TimePoint now);

  /// The state was replaced by a snapshot; pushes the lists that it contains.
  void OnSnapshotRestored(TimePoint now) { PushLists(now); }

  /// The connection was closed; its pending requests are dropped.
  void OnPeerDisconnected(PeerId peer);

  /// Handles timeouts, pushes lists and advances the replicated clock, as due
  /// at `now`.
  void Tick(TimePoint now);

  /// Proposes a command of this process, for example of its OrderIssuer, with
  /// the leader's time. Returns the index of the log entry. Errors:
  /// kUnavailable when this process is not the leader, and those of the
  /// proposer.
  Result<std::uint64_t> Propose(StateCommandBody body, TimePoint now);

  /// Returns and clears the answers to send, in order.
  std::vector<SendControlAnswer> TakeCommands() {
    return std::exchange(commands_, {});
  }

  /// Returns the answer to a ReadStatus.
  [[nodiscard]] ControlStatus Status() const;

  /// Returns where `revision` is in force, among the hosts that send heartbeats
  /// to this process.
  [[nodiscard]] ReachReport Reach(std::uint64_t revision, TimePoint now) const {
    return subscribers_.Reach(revision, now);
  }

 private:
  struct PendingRequest {
    std::uint64_t term = 0;
    PeerId peer = 0;
    std::uint64_t number = 0;
    TimePoint deadline;
  };

  template <typename Body>
  void Handle(PeerId peer,
              std::uint64_t number,
              const Body& body,
              TimePoint now);
  template <typename Body>
  void HandleCommand(PeerId peer,
                     std::uint64_t number,
                     const Body& body,
                     TimePoint now);
  /// Refuses a change that must not be proposed. Returns true if it was
  /// refused.
  bool RefuseIfInvalid(PeerId peer,
                       std::uint64_t number,
                       const ApplyLists& body);
  void Answer(PeerId peer, std::uint64_t number, ControlAnswerBody body) {
    commands_.push_back({peer, {number, std::move(body)}});
  }
  void Refuse(PeerId peer,
              std::uint64_t number,
              RefusalReason reason,
              bool may_have_committed) {
    Answer(peer, number,
           RequestRefused{reason, may_have_committed, leader_, {}});
  }
  /// Answers a request whose log entry was applied.
  void AnswerOutcome(const PendingRequest& pending,
                     const StateOutcome& outcome);
  /// Pushes the lists in force to the hosts that are due for a push.
  void PushLists(TimePoint now);

  P& proposer_;
  const StateMachine& machine_;
  ControlServiceOptions options_;
  SubscriberTable subscribers_;
  bool is_leader_ = false;
  std::uint64_t term_ = 0;
  HostId leader_;
  TimePoint last_proposal_;
  std::map<std::uint64_t, PendingRequest> pending_;
  std::vector<SendControlAnswer> commands_;
};

template <Proposer P>
void ControlService<P>::OnLeadership(std::uint64_t term, TimePoint now) {
  is_leader_ = true;
  term_ = term;
  leader_ = options_.self;
  static_cast<void>(Propose(AdvanceClock{}, now));
}

template <Proposer P>
void ControlService<P>::OnLeadershipLost(const HostId& leader) {
  is_leader_ = false;
  leader_ = leader;
  for (const auto& [index, request] : std::exchange(pending_, {}))
    Refuse(request.peer, request.number, RefusalReason::kUnavailable, true);
}

template <Proposer P>
void ControlService<P>::OnRequest(PeerId peer,
                                  const ControlRequest& request,
                                  TimePoint now) {
  std::visit([&](const auto& body) { Handle(peer, request.number, body, now); },
             request.body);
}

template <Proposer P>
template <typename Body>
void ControlService<P>::Handle(PeerId peer,
                               std::uint64_t number,
                               const Body& body,
                               TimePoint now) {
  if constexpr (std::is_same_v<Body, ListsHeartbeat>) {
    subscribers_.OnHeartbeat(peer, body, now);
    PushLists(now);
  } else if constexpr (std::is_same_v<Body, ReadStatus>) {
    Answer(peer, number, Status());
  } else if constexpr (std::is_same_v<Body, ReadReach>) {
    Answer(peer, number, Reach(body.revision, now));
  } else if constexpr (std::is_same_v<Body, ReadLists>) {
    Answer(peer, number, machine_.lists().in_force());
  } else if (!is_leader_) {
    Refuse(peer, number, RefusalReason::kNotLeader, false);
  } else if constexpr (std::is_same_v<Body, ReadClaim>) {
    Answer(peer, number, ClaimStatus{machine_.claims().StateOf(body.key)});
  } else {
    HandleCommand(peer, number, body, now);
  }
}

template <Proposer P>
template <typename Body>
void ControlService<P>::HandleCommand(PeerId peer,
                                      std::uint64_t number,
                                      const Body& body,
                                      TimePoint now) {
  if constexpr (std::is_same_v<Body, ApplyLists>) {
    if (RefuseIfInvalid(peer, number, body))
      return;
  }
  if (pending_.size() >= options_.max_pending) {
    Refuse(peer, number, RefusalReason::kBusy, false);
    return;
  }
  const Result<std::uint64_t> index = Propose(body, now);
  if (!index) {
    Refuse(peer, number, RefusalReason::kUnavailable, false);
    return;
  }
  pending_[index.value()] = {term_, peer, number,
                             now + options_.pending_timeout};
}

template <Proposer P>
bool ControlService<P>::RefuseIfInvalid(PeerId peer,
                                        std::uint64_t number,
                                        const ApplyLists& body) {
  const ListsInForce& lists = machine_.lists().in_force();
  // The base revision may exist by the time the entry is applied, but the
  // change can't be validated against it yet.
  if (body.base_revision > lists.revision) {
    Refuse(peer, number, RefusalReason::kUnavailable, false);
    return true;
  }
  // A change with an older base revision is never applied: it is a resend or a
  // conflict.
  if (body.base_revision < lists.revision || !options_.check)
    return false;
  const Findings findings =
      options_.check(body.customers ? *body.customers : lists.customers,
                     body.plans ? *body.plans : lists.plans);
  if (findings.empty())
    return false;
  Answer(peer, number,
         RequestRefused{RefusalReason::kInvalidLists, false, leader_,
                        findings.items()});
  return true;
}

template <Proposer P>
Result<std::uint64_t> ControlService<P>::Propose(StateCommandBody body,
                                                 TimePoint now) {
  if (!is_leader_)
    return Fail(ErrorCode::kUnavailable, "this process does not lead");
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      now.time_since_epoch());
  const StateCommand command{
      {term_, static_cast<std::uint64_t>(elapsed.count())}, std::move(body)};
  last_proposal_ = now;
  return proposer_.Propose(EncodeStateCommand(command), now);
}

template <Proposer P>
void ControlService<P>::OnApplied(std::uint64_t index,
                                  std::uint64_t term,
                                  const StateOutcome& outcome,
                                  TimePoint now) {
  PushLists(now);
  const auto it = pending_.find(index);
  if (it == pending_.end())
    return;
  const PendingRequest pending = it->second;
  pending_.erase(it);
  if (pending.term == term) {
    AnswerOutcome(pending, outcome);
  } else {
    Refuse(pending.peer, pending.number, RefusalReason::kUnavailable, false);
  }
}

template <Proposer P>
void ControlService<P>::AnswerOutcome(const PendingRequest& pending,
                                      const StateOutcome& outcome) {
  std::visit(
      [&](const auto& result) {
        if constexpr (std::is_constructible_v<ControlAnswerBody,
                                              decltype(result)>) {
          Answer(pending.peer, pending.number, result);
        } else {
          Refuse(pending.peer, pending.number, RefusalReason::kUnavailable,
                 false);
        }
      },
      outcome);
}

template <Proposer P>
void ControlService<P>::PushLists(TimePoint now) {
  const ListsInForce& lists = machine_.lists().in_force();
  if (lists.revision == 0)
    return;
  for (const PeerId peer : subscribers_.TakeDuePushes(lists.revision, now))
    Answer(peer, 0, lists);
}

template <Proposer P>
void ControlService<P>::OnPeerDisconnected(PeerId peer) {
  subscribers_.OnPeerDisconnected(peer);
  std::erase_if(pending_,
                [peer](const auto& item) { return item.second.peer == peer; });
}

template <Proposer P>
void ControlService<P>::Tick(TimePoint now) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    const auto current = it++;
    const PendingRequest pending = current->second;
    if (now < pending.deadline)
      continue;
    pending_.erase(current);
    Refuse(pending.peer, pending.number, RefusalReason::kUnavailable, true);
  }
  subscribers_.Expire(now);
  PushLists(now);
  if (is_leader_ && now - last_proposal_ >= options_.clock_interval)
    static_cast<void>(Propose(AdvanceClock{}, now));
}

template <Proposer P>
ControlStatus ControlService<P>::Status() const {
  return {options_.self,
          leader_,
          term_,
          is_leader_,
          machine_.applied_index(),
          machine_.lists().in_force().revision,
          machine_.claims().size(),
          machine_.claims().in_progress(),
          machine_.claims().bytes(),
          machine_.orders().open().size(),
          machine_.orders().last_fencing(),
          machine_.now_ms()};
}

}  // namespace briarlead

#endif  // BRIARLEAD_STATE_CONTROL_SERVICE_H_
