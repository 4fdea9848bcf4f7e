#ifndef BRIARLEAD_WIRE_SCRIPTED_SERVER_FOR_TESTS_H_
#define BRIARLEAD_WIRE_SCRIPTED_SERVER_FOR_TESTS_H_

#include <algorithm>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "briarlead_wire/wire_fixture.h"

namespace briarlead {

/// What a stand-in of a server sends for one request.
struct ScriptedResponse {
  /// What happens to the connection behind the bytes.
  enum class End { kKept, kClosed, kReset };

  std::string bytes;
  End end = End::kKept;
  /// Sent as soon as the request begins to come. Nothing of it is read.
  bool is_early = false;
};

/// Responses in the order of the requests that get them, whichever of the
/// servers that share the script they reach. Later requests get none.
using ResponseScript = std::deque<ScriptedResponse>;

/// A stand-in of a server that sends bytes by a script. It works while Poll()
/// is called.
class ScriptedServer {
 public:
  explicit ScriptedServer(ResponseScript& script) : script_(script) {}

  [[nodiscard]] Endpoint endpoint() const { return listener_.endpoint(); }
  /// Returns how many requests got a response.
  [[nodiscard]] std::size_t responses() const { return responses_; }
  /// Returns on how many connections responses were sent.
  [[nodiscard]] std::size_t used_connections() const {
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [](const Connection& it) { return it.is_used; }));
  }
  /// Returns whether the other side has ended all of these.
  [[nodiscard]] bool UsedConnectionsEnded() {
    return std::all_of(
        connections_.begin(), connections_.end(),
        [](Connection& it) { return !it.is_used || it.peer->Ended(); });
  }

  /// Takes connections that wait and answers requests that have come.
  void Poll() {
    while (auto peer = listener_.AcceptPeer())
      connections_.push_back({std::move(peer)});
    for (Connection& it : connections_) {
      if (!script_.empty() && IsDue(it))
        Respond(it);
    }
  }

 private:
  struct Connection {
    std::unique_ptr<RawPeer> peer;
    std::size_t read_until = 0;  ///< Of what was received.
    bool is_used = false;
  };
  static constexpr std::string_view kHeadEnd = "\r\n\r\n";
  static constexpr std::size_t kMaxDigits = 9;
  static constexpr std::string_view kLengthField = "\r\nContent-Length: ";

  /// Returns whether the next response of the script is due on `connection`.
  [[nodiscard]] bool IsDue(Connection& connection) const {
    if (script_.front().is_early)
      return connection.peer->HasUnread();
    const std::string_view received = connection.peer->Received();
    const std::size_t end =
        EndOfRequest(received.substr(connection.read_until));
    connection.read_until += end;
    return end > 0;
  }

  /// Returns where the request ends that `bytes` begin with; zero if it isn't
  /// whole.
  static std::size_t EndOfRequest(std::string_view bytes) {
    const std::size_t head_end = bytes.find(kHeadEnd);
    if (head_end == std::string_view::npos)
      return 0;
    const std::size_t field = bytes.substr(0, head_end).find(kLengthField);
    const std::size_t body =
        field == std::string_view::npos
            ? 0
            : std::stoul(std::string(
                  bytes.substr(field + kLengthField.size(), kMaxDigits)));
    const std::size_t end = head_end + kHeadEnd.size() + body;
    return end <= bytes.size() ? end : 0;
  }

  void Respond(Connection& connection) {
    const ScriptedResponse response = std::move(script_.front());
    script_.pop_front();
    ++responses_;
    connection.is_used = true;
    connection.peer->Send(response.bytes);
    if (response.end == ScriptedResponse::End::kClosed)
      connection.peer->Close();
    else if (response.end == ScriptedResponse::End::kReset)
      connection.peer->Reset();
  }

  ResponseScript& script_;
  RawPeer listener_;
  std::vector<Connection> connections_;
  std::size_t responses_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_WIRE_SCRIPTED_SERVER_FOR_TESTS_H_
