#ifndef BRIARLEAD_ENTRY_CONTROL_CLIENT_H_
#define BRIARLEAD_ENTRY_CONTROL_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_state/control_message.h"

namespace briarlead {

/// A question on its way to a control host.
struct SendControlRequest {
  Endpoint control;
  ControlRequest request;
};

/// Finds the control leader for questions that only it answers, and keeps the
/// subscription to the lists with every control host. Does no I/O. Questions
/// may be lost; whoever asks repeats them.
class ControlClient {
 public:
  static constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);
  /// Silence of the believed leader after which another is tried.
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(350);

  explicit ControlClient(std::vector<Endpoint> controls);

  /// Sends `body` to the believed leader; returns the question's number.
  std::uint64_t Ask(ControlRequestBody body, TimePoint now);

  /// A control host at `control` called `host` answered. Returns whether the
  /// answer belongs to a question of Ask() that is still open.
  bool OnAnswer(const Endpoint& control,
                const HostId& host,
                const ControlAnswer& answer);

  /// Questions sent to `control` may be lost.
  void OnLinkFailure(const Endpoint& control);

  /// Sends the heartbeat when it is due, and gives up on a silent leader.
  void Tick(const ListsHeartbeat& heartbeat, TimePoint now);

  /// Returns the questions since the last call, in order.
  std::vector<SendControlRequest> TakeCommands();

  /// Returns the numbers of questions since the last call that will not be
  /// answered.
  std::vector<std::uint64_t> TakeUnanswered();

 private:
  struct Open {
    Endpoint control;
    TimePoint asked;
  };

  void TryAnother();
  void FailOpenAt(const Endpoint& control);

  std::vector<Endpoint> controls_;
  std::map<HostId, Endpoint> endpoints_;  ///< Learnt from answers.
  std::size_t leader_ = 0;                ///< Index of the believed leader.
  std::uint64_t last_number_ = 0;
  std::map<std::uint64_t, Open> open_;
  std::optional<TimePoint> next_heartbeat_;
  std::vector<SendControlRequest> commands_;
  std::vector<std::uint64_t> unanswered_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_CONTROL_CLIENT_H_
