#ifndef BRIARLEAD_WIRE_HTTP_LISTENER_H_
#define BRIARLEAD_WIRE_HTTP_LISTENER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/error.h"
#include "briarlead_wire/caller_connection.h"

namespace briarlead {

/// Names one request of one caller's connection. Calls that name a request
/// which is over change nothing.
struct CallerRequestId {
  std::uint64_t connection = 0;
  std::uint64_t request = 0;

  friend auto operator<=>(const CallerRequestId&,
                          const CallerRequestId&) = default;
};

/// Accepts callers' connections and hands out their requests.
class HttpListener {
 public:
  struct Handlers {
    std::function<
        void(const CallerRequestId& id, RequestHead& head, std::string& body)>
        on_request;
    /// The caller of a request went before its response was complete here; may
    /// be empty.
    std::function<void(const CallerRequestId& id)> on_gone;
    /// What waited of a response in progress is on its way; may be empty.
    std::function<void(const CallerRequestId& id)> on_drained;
    /// As of CallerConnection; a line of text when empty.
    std::function<OwnBody(int status)> write_refusal;
  };

  /// Listens on `endpoint`; port 0 picks a free one. Errors: kInvalidArgument,
  /// kUnavailable.
  static Result<std::unique_ptr<HttpListener>> Listen(const Endpoint& endpoint,
                                                      Handlers handlers);

  /// Takes no further connection; those that are open go on.
  void StopListening();

  /// Returns the address in use, with the port that was picked.
  [[nodiscard]] Endpoint endpoint() const;

  /// Limits of connections that are accepted from now on.
  void SetLimits(const CallerLimits& limits) { limits_ = limits; }

  /// Counts what connections that are accepted from now on hold in `budget`,
  /// which must outlive the listener. Without it each listener has a budget of
  /// its own.
  void SetMemoryBudget(MemoryBudget& budget) { budget_ = &budget; }

  /// Answers 503 on connections beyond `count` if none can be closed for them.
  void SetMaxConnections(std::size_t count) { max_connections_ = count; }

  /// As the methods of CallerConnection.
  void Respond(const CallerRequestId& id,
               int status,
               const HeaderFields& fields,
               std::string_view body);
  void SendHead(const CallerRequestId& id,
                int status,
                std::string_view reason,
                const HeaderFields& fields,
                std::optional<std::uint64_t> length);
  void SendBody(const CallerRequestId& id, std::string_view bytes);
  void SendBody(const CallerRequestId& id,
                std::shared_ptr<const std::string> bytes);
  void Finish(const CallerRequestId& id);
  void Abort(const CallerRequestId& id);

  /// Returns the bytes of the response that wait in this process.
  [[nodiscard]] std::size_t WaitingBytes(const CallerRequestId& id) const;

  /// Returns the IP address of the caller; empty if its connection is gone.
  [[nodiscard]] std::string CallerAddress(const CallerRequestId& id) const;

  /// Keeps connections after their responses, or closes each after its next
  /// one.
  void SetKeeping(bool keeps);
  /// Closes the connections that wait for a request.
  void CloseIdle();

  [[nodiscard]] std::size_t connection_count() const {
    return connections_.size();
  }
  /// Returns the number of requests whose response hasn't left in full.
  [[nodiscard]] std::size_t requests_in_progress() const;

 private:
  struct Entry {
    std::unique_ptr<CallerConnection> connection;
    std::string address;  ///< Of the caller.
    std::uint64_t request = 0;
  };

  HttpListener(ObjectPtr<GSocket> socket, Handlers handlers);

  void WatchForCallers();
  void Accept();
  void AddConnection(ObjectPtr<GSocket> socket);
  void ResumePaused();
  /// Closes connections in the order of Closability from `first` on, of each
  /// kind the oldest first, as long as `goes_on`.
  void MakeRoom(Closability first, const std::function<bool()>& goes_on);
  void RefuseConnection(GSocket* socket) const;
  void Sweep();
  /// Returns the connection while `id` is its request in progress.
  [[nodiscard]] CallerConnection* Find(const CallerRequestId& id) const;
  /// Destroys `connection` from the loop, outside of its own methods.
  void Discard(std::uint64_t connection);

  ObjectPtr<GSocket> socket_;
  Handlers handlers_;
  CallerLimits limits_;
  MemoryBudget own_budget_;
  MemoryBudget* budget_ = &own_budget_;
  std::size_t max_connections_ = std::numeric_limits<std::size_t>::max();
  SourceHandle acceptable_;
  SourceHandle sweep_timer_;
  SourceHandle discard_timer_;
  SourceHandle resume_timer_;
  std::deque<std::uint64_t> paused_;
  TimePoint next_search_;  ///< For connections that can be closed.
  std::uint64_t last_connection_ = 0;
  bool keeps_ = true;
  std::map<std::uint64_t, Entry> connections_;
  std::vector<std::unique_ptr<CallerConnection>> discarded_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_WIRE_HTTP_LISTENER_H_
