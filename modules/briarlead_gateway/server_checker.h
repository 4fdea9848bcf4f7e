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

/// Result of a check.
enum class CheckResult {
  kUp,
  kNoAnswer,  ///< No connection within the time.
  kRefused,   ///< Nothing listens at the server's address.
  kNotTried,  ///< This host could not begin to connect.
};

/// Checks whether backend servers accept TCP connections. A server that sends
/// nothing may be busy; one that accepts no connection is down.
class ServerChecker {
 public:
  /// Time within which a server must accept a connection.
  static constexpr Duration kTimeout = std::chrono::milliseconds(120);
  /// Time for which a check is valid: the server is not checked again earlier.
  static constexpr Duration kResultLife = std::chrono::milliseconds(300);

  using Handler =
      std::function<void(const ServerRecord& server, CheckResult result)>;

  explicit ServerChecker(Handler handler) : handler_(std::move(handler)) {}

  /// Checks `server`. If a check started less than kResultLife ago, it is
  /// repeated after that time: the server may have ended since.
  void Check(const ServerRecord& server, TimePoint now);

  /// Repeats the checks that were wanted again, once they are due.
  void RunPostponed(TimePoint now);
  /// Removes expired results.
  void Sweep(TimePoint now);

 private:
  struct Entry {
    ServerRecord server;
    std::unique_ptr<TcpStream> stream;
    bool wanted_again = false;
    TimePoint started;
    bool finished = false;
  };

  void OnResult(const ServerRecord& server, CheckResult result);

  Handler handler_;
  std::map<ServerIncarnation, Entry> entries_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_GATEWAY_SERVER_CHECKER_H_
