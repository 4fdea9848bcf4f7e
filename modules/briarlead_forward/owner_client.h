#ifndef BRIARLEAD_FORWARD_OWNER_CLIENT_H_
#define BRIARLEAD_FORWARD_OWNER_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/time.h"
#include "briarlead_forward/engine_load_tracker.h"
#include "briarlead_forward/forward_command.h"
#include "briarlead_forward/model_placer.h"
#include "briarlead_routes/engine_placement_message.h"
#include "briarlead_routes/server_directory.h"

namespace briarlead {

/// Sends `request` to the owner of the engines at `owner`.
struct SendPlacementRequest {
  Endpoint owner;
  EnginePlacementRequest request;
};

/// No owner answers the request `key`.
struct NoOwnerAnswers {
  RequestKey key = 0;
};

using OwnerClientCommand = std::variant<SendPlacementRequest, NoOwnerAnswers>;

/// Asks the owners of the engines to place this host's model requests. One that
/// does not answer in time is passed over for a while and the next one asked.
/// Takes events and produces commands; does no I/O.
class OwnerClient {
 public:
  /// Time within which an owner must answer.
  static constexpr Duration kReplyTimeout = std::chrono::milliseconds(60);
  /// Time for which an owner that did not answer is not asked again.
  static constexpr Duration kPassOverTime = std::chrono::milliseconds(1000);

  /// Sets the hosts to ask, the preferred one first.
  void SetOwners(std::vector<Endpoint> owners) { owners_ = std::move(owners); }

  /// Asks for the engines of the request `key`.
  void Ask(RequestKey key, const AskForPlacement& ask, TimePoint now);

  /// Handles a reply of `owner`. Returns whether it answers the latest question
  /// for its request; any other reply must be ignored.
  bool OnReply(const Endpoint& owner,
               const EnginePlacementReply& reply,
               TimePoint now);

  /// Forgets a request that has ended.
  void Forget(RequestKey key) { questions_.erase(key); }

  /// Passes over the owners that have not answered in time.
  void OnWake(TimePoint now);
  /// Returns when OnWake() is due; TimePoint::max() if never.
  [[nodiscard]] TimePoint NextWake() const;

  /// Removes and returns the commands to execute, in order.
  std::vector<OwnerClientCommand> TakeCommands();

 private:
  /// The latest question for one request.
  struct Question {
    EnginePlacementRequest request;
    TimePoint target;  ///< When the first token is due.
    Endpoint owner;
    bool is_open = false;  ///< Has no answer yet.
    TimePoint due;         ///< Answer due, while open.
  };

  /// Sends the question to the first owner that isn't passed over.
  void Send(Question& question, TimePoint now);

  std::vector<Endpoint> owners_;
  std::map<Endpoint, TimePoint> passed_over_until_;
  std::map<RequestKey, Question> questions_;
  std::uint32_t last_number_ = 0;
  std::vector<OwnerClientCommand> commands_;
};

/// Returns the owner's reply as an answer of a placer; nullopt if it names a
/// server that `directory` doesn't have as ready.
std::optional<ModelPlacer::Answer> AnswerOf(const EnginePlacementReply& reply,
                                            const ServerDirectory& directory);

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_OWNER_CLIENT_H_
