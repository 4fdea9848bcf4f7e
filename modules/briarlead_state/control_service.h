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

/// Whatever puts a payload into the replicated log: returns the index that it
/// will have if it is committed, or why it was not taken.
template <typename T>
concept Proposer = requires(T& proposer, std::string payload, TimePoint now) {
  {
    proposer.Propose(std::move(payload), now)
    } -> std::same_as<Result<std::uint64_t>>;
};

/// Checks the lists as they would be after a change; returns every fault.
using ListsCheck =
    std::function<Findings(std::string_view customers, std::string_view plans)>;

/// What a ControlService needs to know of its process.
struct ControlServiceOptions {
  HostId self;
  std::vector<DataCentreId> data_centres;
  ListsCheck check;
  /// Most questions that wait for their entry at once.
  std::size_t max_pending = 10'000;
  /// Time after which a waiting question is answered "unavailable".
  Duration pending_timeout = std::chrono::seconds(4);
  /// Time without proposals after which the replicated clock is moved on.
  Duration clock_interval = std::chrono::seconds(30);
};

/// Sends `answer` over the connection `peer`.
struct SendControlAnswer {
  PeerId peer = 0;
  ControlAnswer answer;
};

/// The request and answer side of a control process, without I/O: proposes
/// what entry hosts and operators ask for, answers when the entry is applied,
/// pushes accepted lists and knows where they are in force. Only the leader
/// takes commands and reads of claims; every control process pushes lists.
template <Proposer P>
class ControlService {
 public:
  /// Both references must outlive the service.
  ControlService(P& proposer,
                 const StateMachine& machine,
                 ControlServiceOptions settings)
      : proposer_(proposer),
        machine_(machine),
        settings_(std::move(settings)),
        subscribers_(settings_.data_centres) {}

  /// This process leads `term` and has applied every entry of earlier terms.
  void OnLeadership(std::uint64_t term, TimePoint now);

  /// This process leads no more. Waiting questions are answered "may have
  /// been committed". `leader` is the new one, empty when not known.
  void OnLeadershipLost(const HostId& leader);

  /// Names the leader that the consensus knows of; empty for none.
  void SetLeader(const HostId& leader) { leader_ = leader; }

  /// Takes a question that came over `peer`.
  void OnRequest(PeerId peer, const ControlRequest& request, TimePoint now);

  /// The entry `index` of `term` was applied with `outcome`.
  void OnApplied(std::uint64_t index,
                 std::uint64_t term,
                 const StateOutcome& outcome,
                 TimePoint now);

  /// A snapshot took the place of entries; pushes the lists that came with it.
  void OnSnapshotRestored(TimePoint now) { Publish(now); }

  /// The connection is gone.
  void OnPeerGone(PeerId peer);

  /// Does what is due at `now`: timeouts, pushes, the replicated clock.
  void Tick(TimePoint now);

  /// Proposes a command of this process, for example of its OrderIssuer, with
  /// the leader's time; kUnavailable when this process does not lead.
  Result<std::uint64_t> Propose(StateCommandBody body, TimePoint now);

  /// Hands over the answers to send in order, and forgets them.
  std::vector<SendControlAnswer> TakeCommands() {
    return std::exchange(commands_, {});
  }

  /// Returns the status that a ReadStatus is answered with.
  [[nodiscard]] ControlStatus Status() const;

  /// Returns how far `revision` came among the hosts that this process hears.
  [[nodiscard]] ReachReport Reach(std::uint64_t revision, TimePoint now) const {
    return subscribers_.Reach(revision, now);
  }

 private:
  struct Pending {
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
  /// Answers a change that must not be proposed; returns whether it did.
  bool RefuseLists(PeerId peer, std::uint64_t number, const ApplyLists& body);
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
  void AnswerOutcome(const Pending& pending, const StateOutcome& outcome);
  void Publish(TimePoint now);

  P& proposer_;
  const StateMachine& machine_;
  ControlServiceOptions settings_;
  SubscriberTable subscribers_;
  bool is_leader_ = false;
  std::uint64_t term_ = 0;
  HostId leader_;
  TimePoint last_proposal_;
  std::map<std::uint64_t, Pending> pending_;
  std::vector<SendControlAnswer> commands_;
};

template <Proposer P>
void ControlService<P>::OnLeadership(std::uint64_t term, TimePoint now) {
  is_leader_ = true;
  term_ = term;
  leader_ = settings_.self;
  static_cast<void>(Propose(AdvanceClock{}, now));
}

template <Proposer P>
void ControlService<P>::OnLeadershipLost(const HostId& leader) {
  is_leader_ = false;
  leader_ = leader;
  for (const auto& [index, it] : std::exchange(pending_, {}))
    Refuse(it.peer, it.number, RefusalReason::kUnavailable, true);
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
    subscribers_.Hear(peer, body, now);
    Publish(now);
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
    if (RefuseLists(peer, number, body))
      return;
  }
  if (pending_.size() >= settings_.max_pending) {
    Refuse(peer, number, RefusalReason::kBusy, false);
    return;
  }
  const Result<std::uint64_t> index = Propose(body, now);
  if (!index) {
    Refuse(peer, number, RefusalReason::kUnavailable, false);
    return;
  }
  pending_[index.value()] = {term_, peer, number,
                             now + settings_.pending_timeout};
}

template <Proposer P>
bool ControlService<P>::RefuseLists(PeerId peer,
                                    std::uint64_t number,
                                    const ApplyLists& body) {
  const ListsInForce& lists = machine_.lists().in_force();
  // A base from the future could come true before its entry is applied, and
  // its contents can't be checked yet.
  if (body.base_revision > lists.revision) {
    Refuse(peer, number, RefusalReason::kUnavailable, false);
    return true;
  }
  // A change with an old base is never applied: a resend or a conflict.
  if (body.base_revision < lists.revision || !settings_.check)
    return false;
  const Findings findings =
      settings_.check(body.customers ? *body.customers : lists.customers,
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
  Publish(now);
  const auto it = pending_.find(index);
  if (it == pending_.end())
    return;
  const Pending pending = it->second;
  pending_.erase(it);
  if (pending.term == term) {
    AnswerOutcome(pending, outcome);
  } else {
    Refuse(pending.peer, pending.number, RefusalReason::kUnavailable, false);
  }
}

template <Proposer P>
void ControlService<P>::AnswerOutcome(const Pending& pending,
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
void ControlService<P>::Publish(TimePoint now) {
  const ListsInForce& lists = machine_.lists().in_force();
  if (lists.revision == 0)
    return;
  for (const PeerId peer : subscribers_.TakeDue(lists.revision, now))
    Answer(peer, 0, lists);
}

template <Proposer P>
void ControlService<P>::OnPeerGone(PeerId peer) {
  subscribers_.ForgetPeer(peer);
  std::erase_if(pending_,
                [peer](const auto& item) { return item.second.peer == peer; });
}

template <Proposer P>
void ControlService<P>::Tick(TimePoint now) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    const auto current = it++;
    const Pending pending = current->second;
    if (now < pending.deadline)
      continue;
    pending_.erase(current);
    Refuse(pending.peer, pending.number, RefusalReason::kUnavailable, true);
  }
  subscribers_.Expire(now);
  Publish(now);
  if (is_leader_ && now - last_proposal_ >= settings_.clock_interval)
    static_cast<void>(Propose(AdvanceClock{}, now));
}

template <Proposer P>
ControlStatus ControlService<P>::Status() const {
  return {settings_.self,
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
