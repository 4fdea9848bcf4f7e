#ifndef BRIARLEAD_PLACEMENT_SLOT_CLIENT_H_
#define BRIARLEAD_PLACEMENT_SLOT_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/time.h"
#include "briarlead_routes/slot_message.h"

namespace briarlead {

/// What a request needs a slot for.
struct SlotDemand {
  ServiceId service;
  std::uint32_t rank = 0;
  TimePoint target;
  TimePoint deadline;
  DataCentreId data_centre;
  std::vector<ServerIncarnation> excluded;  ///< Servers tried before.
  CustomerId account;
  double weight = 1;
};

/// Sends `request` to the scheduler at `scheduler`.
struct SendSlotRequest {
  Endpoint scheduler;
  SlotRequest request;
};
/// Sends `release` to the scheduler at `scheduler`.
struct SendSlotRelease {
  Endpoint scheduler;
  SlotRelease release;
};
/// No scheduler answers: the host chooses a server for the request itself.
struct NoSlotScheduler {
  std::uint64_t key = 0;
};
using SlotClientCommand =
    std::variant<SendSlotRequest, SendSlotRelease, NoSlotScheduler>;

/// Asks the scheduler of a service for slots for the requests of this host, and
/// gives them back. A scheduler that doesn't answer is passed over for some
/// time; a late reply has no effect but that the slot is given back. Takes
/// events and produces commands; does no I/O.
class SlotClient {
 public:
  /// Time after which a question is repeated once: datagrams get lost.
  static constexpr Duration kResendAfter = std::chrono::milliseconds(25);
  /// Time within which a scheduler must answer.
  static constexpr Duration kReplyTimeout = std::chrono::milliseconds(60);
  /// Time for which a scheduler that didn't answer is passed over.
  static constexpr Duration kPassOverTime = std::chrono::milliseconds(1000);
  /// Interval at which a waiting request repeats its question.
  static constexpr Duration kRepeatInterval = std::chrono::milliseconds(500);

  /// Asks the first of `schedulers` that isn't passed over for a slot for the
  /// request `key`.
  void Ask(std::uint64_t key,
           const SlotDemand& demand,
           std::vector<Endpoint> schedulers,
           TimePoint now);

  /// Handles a reply; returns whether it answers a question that is open.
  bool OnReply(const Endpoint& scheduler,
               const SlotReply& reply,
               TimePoint now);

  /// Gives the slot of the request `key` back, if it has one.
  void Release(std::uint64_t key, SlotOutcome outcome, TimePoint now);
  /// The request `key` ended: withdraws its question or gives its slot back.
  void Forget(std::uint64_t key, TimePoint now);

  void OnWake(TimePoint now);
  /// Returns when OnWake() is due; TimePoint::max() if nothing waits.
  [[nodiscard]] TimePoint NextWake() const;

  /// Removes and returns the commands to execute, in order.
  std::vector<SlotClientCommand> TakeCommands();

 private:
  struct Question {
    SlotDemand demand;
    std::vector<Endpoint> schedulers;
    std::uint32_t number = 0;
    Endpoint scheduler;
    TimePoint answer_due;  ///< max() once the scheduler has answered.
    TimePoint resend_at;
  };
  /// A slot that a request uses.
  struct Slot {
    Endpoint scheduler;
    std::uint32_t number = 0;
    TimePoint since;
  };

  /// Sends the question to the first scheduler that isn't passed over.
  void SendToNext(std::uint64_t key, TimePoint now);
  void Send(std::uint64_t key, const Question& question, TimePoint now);

  std::map<std::uint64_t, Question> questions_;
  std::map<std::uint64_t, Slot> slots_;
  std::map<Endpoint, TimePoint> passed_over_until_;
  std::uint32_t last_number_ = 0;
  std::vector<SlotClientCommand> commands_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_PLACEMENT_SLOT_CLIENT_H_
