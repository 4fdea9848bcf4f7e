#ifndef BRIARLEAD_WIRE_SCRIPTED_SERVER_FOR_TESTS_H_
#define BRIARLEAD_WIRE_SCRIPTED_SERVER_FOR_TESTS_H_

#include <cstddef>
#include <deque>
#include <string>
#include <utility>

#include "briarlead_wire/wire_fixture.h"

namespace briarlead {

/// What a stand-in of a server sends for one request.
struct ScriptedResponse {
  /// What happens to the connection behind the bytes.
  enum class End { kKept, kClosed, kReset };

  std::string bytes;
  End end = End::kKept;
  /// Sent as soon as there is a connection, nothing of the request is read.
  bool is_early = false;
};

/// Responses in the order of the requests that get them, whichever of the
/// servers that share the script they reach. Later requests get none.
using ResponseScript = std::deque<ScriptedResponse>;

/// A stand-in of a server that sends bytes by a script. It has one connection
/// at a time and works while Poll() is called.
class ScriptedServer {
 public:
  explicit ScriptedServer(ResponseScript& script) : script_(script) {}

  [[nodiscard]] Endpoint endpoint() const { return peer_.endpoint(); }
  /// Returns how many requests got a response.
  [[nodiscard]] std::size_t responses() const { return responses_; }
  /// Returns how many connections were taken.
  [[nodiscard]] int connections() const { return peer_.accepted(); }
  /// Returns all bytes of requests that were read.
  const std::string& Received() { return peer_.Received(); }

  /// Takes a connection that waits and answers a request that has come.
  void Poll() {
    const bool is_new = peer_.Accept();
    if (peer_.accepted() == 0 || script_.empty())
      return;
    if (script_.front().is_early ? is_new : HasNextHead())
      Respond();
  }

 private:
  static constexpr std::string_view kHeadEnd = "\r\n\r\n";

  /// Returns whether a further request's head has come. Bodies of tests hold
  /// no empty line.
  bool HasNextHead() {
    const std::size_t end = peer_.Received().find(kHeadEnd, read_until_);
    if (end == std::string::npos)
      return false;
    read_until_ = end + kHeadEnd.size();
    return true;
  }

  void Respond() {
    const ScriptedResponse response = std::move(script_.front());
    script_.pop_front();
    ++responses_;
    peer_.Send(response.bytes);
    if (response.end == ScriptedResponse::End::kClosed)
      peer_.Close();
    else if (response.end == ScriptedResponse::End::kReset)
      peer_.Reset();
  }

  ResponseScript& script_;
  RawPeer peer_;
  std::size_t read_until_ = 0;  ///< Of what was received.
  std::size_t responses_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_WIRE_SCRIPTED_SERVER_FOR_TESTS_H_
