#ifndef BRIARLEAD_FORWARD_ORIGIN_FINDER_H_
#define BRIARLEAD_FORWARD_ORIGIN_FINDER_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <variant>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/time.h"
#include "briarlead_forward/engine_load_tracker.h"
#include "briarlead_routes/stream_origin.h"

namespace briarlead {

/// Sends `query` to the control host at `host`.
struct SendOriginQuery {
  Endpoint host;
  StreamOriginQuery query;
};

/// The answer for the request `key`; nullopt if no control host knows the
/// origin of its stream.
struct OriginFound {
  RequestKey key = 0;
  std::optional<ServiceVersion> origin;
};

using OriginFinderCommand = std::variant<SendOriginQuery, OriginFound>;

/// Asks control hosts at which version a stream began that a caller resumes.
/// Takes events and produces commands; does no I/O.
class OriginFinder {
 public:
  /// Hosts that are asked: more than keep an origin, since this host and the
  /// one that told them may not know the same control hosts.
  static constexpr std::size_t kHostsAsked = 4;
  /// Interval at which hosts without an answer are asked again.
  static constexpr Duration kRepeatInterval = std::chrono::milliseconds(100);
  /// Time after which no more answers are waited for.
  static constexpr Duration kTimeout = std::chrono::milliseconds(350);

  /// Asks for the origin of `stream`, which the request `key` resumes.
  void Ask(RequestKey key,
           StreamId stream,
           std::span<const Endpoint> control_hosts,
           TimePoint now);
  /// Handles a reply of the control host at `host`.
  void OnReply(const Endpoint& host, const StreamOriginReply& reply);
  /// Forgets a request that has ended.
  void Forget(RequestKey key) { questions_.erase(key); }

  /// Repeats or ends the questions that are due.
  void OnWake(TimePoint now);
  /// Returns when OnWake() is due; TimePoint::max() if never.
  [[nodiscard]] TimePoint NextWake() const;

  [[nodiscard]] bool has_commands() const { return !commands_.empty(); }
  /// Removes and returns the commands to execute, in order.
  std::vector<OriginFinderCommand> TakeCommands();

 private:
  struct Question {
    StreamId stream;
    std::vector<Endpoint> unanswered;
    TimePoint repeat_at;
    TimePoint ends;
  };

  void Send(Question& question, TimePoint now);

  std::map<RequestKey, Question> questions_;
  std::vector<OriginFinderCommand> commands_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_ORIGIN_FINDER_H_
