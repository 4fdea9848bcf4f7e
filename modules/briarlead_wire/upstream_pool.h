#ifndef BRIARLEAD_WIRE_UPSTREAM_POOL_H_
#define BRIARLEAD_WIRE_UPSTREAM_POOL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/time.h"
#include "briarlead_wire/upstream_connection.h"

namespace briarlead {

class UpstreamPool;

/// One call to a backend server. Destroying it before its end closes the
/// connection, by which the server learns that nobody waits.
class UpstreamCall {
 public:
  ~UpstreamCall();
  UpstreamCall(const UpstreamCall&) = delete;
  UpstreamCall& operator=(const UpstreamCall&) = delete;

  /// Stops or resumes reading of the response.
  void SetReading(bool reading) { connection_->SetReading(reading); }
  /// Ends the call: the server learns that nobody waits. For a while, its
  /// response is still read if it is on its way, and `on_dropped` told its
  /// head. No other handler is called any more. The call must be destroyed
  /// next, which may be later: its owner may be in one of its handlers.
  void Withdraw(std::function<void(const ResponseHead& head)> on_dropped);
  /// Returns false only when no byte of the request has left.
  [[nodiscard]] bool connected() const { return connection_->connected(); }

 private:
  friend class UpstreamPool;
  UpstreamCall(UpstreamPool& pool,
               Endpoint server,
               std::unique_ptr<UpstreamConnection> connection);

  UpstreamPool& pool_;
  Endpoint server_;
  std::unique_ptr<UpstreamConnection> connection_;
};

/// How a call may use connections.
struct UpstreamCallOptions {
  Duration connect_timeout = std::chrono::milliseconds(300);
  /// Longest idle time of a kept connection that the call may use.
  Duration max_idle = std::chrono::seconds(60);
  /// Uses no kept connection at all.
  bool new_connection = false;
  /// Names the request; a kept connection that carried a call of that name is
  /// not used. Empty if the request has no name.
  std::string name;
};

/// Keeps connections to backend servers and starts calls on them.
class UpstreamPool {
 public:
  /// Idle time of connections whose server states none.
  static constexpr Duration kUnstatedIdleTime = std::chrono::milliseconds(300);
  /// Time for which the connection of a withdrawn call is read.
  static constexpr Duration kWithdrawnTime = std::chrono::seconds(1);
  /// Maximum number of such connections; those of further calls are closed.
  static constexpr std::size_t kMaxWithdrawn = 128;

  explicit UpstreamPool(Duration unstated_idle_time = kUnstatedIdleTime)
      : unstated_idle_time_(unstated_idle_time) {}

  /// Starts a call; handlers are never called from within. `body`, which may be
  /// null, is sent after `request` without a copy.
  std::unique_ptr<UpstreamCall> Start(
      const Endpoint& server,
      std::string_view request,
      const UpstreamCallOptions& options,
      UpstreamHandlers handlers,
      TimePoint now,
      std::shared_ptr<const std::string> body = nullptr);

  /// Closes idle connections whose time is over.
  void Sweep(TimePoint now);

  /// Closes the idle connections to `server`.
  void Forget(const Endpoint& server) { idle_.erase(server); }

  [[nodiscard]] std::uint64_t opened() const { return opened_; }
  /// Returns the number of servers to which connections are kept idle.
  [[nodiscard]] std::size_t idle_count() const { return idle_.size(); }

 private:
  friend class UpstreamCall;

  struct IdleConnection {
    std::unique_ptr<UpstreamConnection> connection;
    TimePoint since;
    TimePoint until;
  };

  std::unique_ptr<UpstreamConnection> TakeIdle(
      const Endpoint& server,
      const UpstreamCallOptions& options,
      TimePoint now);
  void Return(const Endpoint& server,
              std::unique_ptr<UpstreamConnection> connection);

  [[nodiscard]] Duration IdleTimeOf(const UpstreamConnection& connection) const;

  /// A connection on which a response may still come that nobody wants.
  struct WithdrawnConnection {
    std::unique_ptr<UpstreamConnection> connection;
    TimePoint until;
  };

  Duration unstated_idle_time_;
  std::deque<WithdrawnConnection> withdrawn_;
  std::map<Endpoint, std::deque<IdleConnection>> idle_;
  std::uint64_t opened_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_WIRE_UPSTREAM_POOL_H_
