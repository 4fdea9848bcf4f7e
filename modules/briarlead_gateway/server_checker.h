#ifndef BRIARLEAD_GATEWAY_SERVER_CHECKER_H_
#define BRIARLEAD_GATEWAY_SERVER_CHECKER_H_

#include <functional>
#include <map>
#include <memory>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/time.h"
#include "briarlead_forward/server_pool.h"
#include "briarlead_wire/tcp_stream.h"

namespace briarlead {

/// Finds out whether backend servers still take connections: a silent server
/// may be at work, one that doesn't connect is down.
class ServerChecker {
 public:
  /// Time in which a server must take a connection.
  static constexpr Duration kTimeout = std::chrono::milliseconds(120);
  /// A result counts for this long before the server is checked again.
  static constexpr Duration kResultLife = std::chrono::milliseconds(300);

  using Handler = std::function<void(const ServerRecord& server, bool up)>;

  explicit ServerChecker(Handler handler) : handler_(std::move(handler)) {}

  /// Checks `server`, unless that is under way or was done lately.
  void Check(const ServerRecord& server, TimePoint now);

  /// Forgets old results.
  void Sweep(TimePoint now);

 private:
  struct Entry {
    std::unique_ptr<TcpStream> stream;
    TimePoint started;
    bool finished = false;
  };

  void OnResult(const ServerRecord& server, bool up);

  Handler handler_;
  std::map<ServerIncarnation, Entry> entries_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_GATEWAY_SERVER_CHECKER_H_
