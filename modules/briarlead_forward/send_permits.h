#ifndef BRIARLEAD_FORWARD_SEND_PERMITS_H_
#define BRIARLEAD_FORWARD_SEND_PERMITS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/time.h"
#include "briarlead_forward/permit_owners.h"
#include "briarlead_forward/server_limits.h"
#include "briarlead_routes/server_limit_message.h"

namespace briarlead {

/// The right to send one request to a server that named a limit.
struct SendPermit {
  ServerIncarnation server;
  TimePoint starts_at;
  TimePoint ends_at;
};

/// Sends `request` to the host that shares out the server's rate.
struct AskForPermits {
  Endpoint owner;
  SendPermitRequest request;
};

/// The permits of one host for servers that named a limit. Permits are asked
/// for when a request could use one and lapse soon after their start, so that a
/// host can't save them up. Takes events and produces questions; does no I/O.
class SendPermits {
 public:
  /// Time for which a permit may be used after its start.
  static constexpr Duration kPermitLife = std::chrono::milliseconds(500);
  /// Time within which an owner must answer.
  static constexpr Duration kReplyTimeout = std::chrono::milliseconds(60);
  /// Time for which an owner that did not answer is not asked again.
  static constexpr Duration kPassOverTime = std::chrono::milliseconds(1000);
  /// How far ahead a permit may start that no request waits for yet.
  static constexpr Duration kPrefetchTime = std::chrono::milliseconds(300);
  /// Fall of a limit at which the permits given out before are void.
  static constexpr double kVoidingShare = 0.5;

  SendPermits(const ServerLimits& limits, const PermitOwners& owners)
      : limits_(limits), owners_(owners) {}

  /// Returns whether requests to `server` need permits.
  [[nodiscard]] bool IsNeeded(const ServerIncarnation& server) const {
    return limits_.IsLimited(server);
  }
  /// Returns whether requests to any server need permits.
  [[nodiscard]] bool IsAnyNeeded() const { return limits_.IsAnyLimited(); }
  /// Returns whether a request may be sent to `server` now.
  [[nodiscard]] bool MaySend(const ServerIncarnation& server,
                             TimePoint now) const;
  /// Takes the permit for a request that is sent to `server` now.
  void Use(const ServerIncarnation& server, TimePoint now);

  /// Takes the first permit for `server` that starts by `latest`, for a request
  /// that waits for it.
  std::optional<SendPermit> Claim(const ServerIncarnation& server,
                                  TimePoint latest,
                                  TimePoint now);
  /// Gives back a permit that was claimed and not used.
  void Return(const SendPermit& permit);

  /// Asks for a permit that starts within `within`, unless one is there or it
  /// is known that none is free.
  void Want(const ServerIncarnation& server, Duration within, TimePoint now);

  /// Returns when a permit for `server` may be had at the earliest.
  [[nodiscard]] TimePoint EarliestStart(const ServerIncarnation& server,
                                        TimePoint now) const;

  /// Handles a reply of `owner`; returns whether waiting requests should try
  /// again.
  bool OnReply(const Endpoint& owner,
               const SendPermitReply& reply,
               TimePoint now);

  /// Forgets servers without a limit.
  void Expire(TimePoint now);
  /// Removes and returns the questions to send.
  std::vector<AskForPermits> TakeQuestions();

 private:
  /// A question that has no reply yet.
  struct Question {
    std::uint32_t number = 0;
    Endpoint owner;
    TimePoint due;
  };
  struct State {
    std::vector<SendPermit> permits;  ///< By start.
    std::optional<Question> question;
    std::uint32_t wanted = 0;  ///< Requests since the last reply.
    TimePoint next_question_at;
    TimePoint next_start_at;  ///< Of the first free permit by the last reply.
    double limit = kNoRateLimit;  ///< Under which the permits were given.
  };

  /// Returns the first owner that isn't passed over; null if there is none.
  [[nodiscard]] const Endpoint* OwnerToAsk(const ServerIncarnation& server,
                                           TimePoint now) const;
  /// Drops lapsed and void permits.
  void DropLapsed(const ServerIncarnation& server, State& state, TimePoint now);

  const ServerLimits& limits_;
  const PermitOwners& owners_;
  std::map<ServerIncarnation, State> states_;
  std::map<Endpoint, TimePoint> passed_over_until_;
  std::uint32_t last_number_ = 0;
  std::vector<AskForPermits> questions_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_SEND_PERMITS_H_
