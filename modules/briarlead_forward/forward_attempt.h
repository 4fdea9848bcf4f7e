#ifndef BRIARLEAD_FORWARD_FORWARD_ATTEMPT_H_
#define BRIARLEAD_FORWARD_FORWARD_ATTEMPT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/time.h"
#include "briarlead_forward/forward_command.h"
#include "briarlead_forward/server_pool.h"
#include "briarlead_routes/server_record.h"

namespace briarlead {

/// One attempt of a ForwardFlow: a send of its request to one server, and what
/// has come back so far.
struct ForwardAttempt {
  AttemptNumber number = 0;
  ServerRecord server;
  std::optional<Endpoint> relay;  ///< The host that passes it on.
  SendPart part = SendPart::kWhole;
  std::string kv_source;
  bool is_retry = false;    ///< Counts against the retry budget.
  bool connecting = false;  ///< Nothing of the request has left.
  TimePoint sent_at;
  TimePoint give_up_at;
  TimePoint last_received_at;  ///< Last part of the response, or `sent_at`.
  TimePoint check_at;          ///< When the engine is checked next.
  std::optional<ResponseFacts> head;
  bool is_stream = false;
  bool has_events = false;  ///< The stream has begun at this server.
  std::optional<TimePoint> first_event_at;
  bool survived = false;  ///< The engine went on after it began to answer.
  /// Of the stream since its pace was last observed.
  struct Pace {
    std::optional<TimePoint> since;  ///< Unset before the first event.
    TimePoint last_event;
    std::uint32_t tokens = 0;
  } pace;

  [[nodiscard]] SendPath path() const {
    return relay.has_value() ? SendPath::kRelayed : SendPath::kDirect;
  }
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_FORWARD_ATTEMPT_H_
