// A small deployment on loopback addresses for the cases of review/: processes
// of the project, servers, an operator and callers, with blocking sockets and
// threads. Only for review/build-2.sh.

#ifndef REVIEW_STANDIN_2_FLEET_H_
#define REVIEW_STANDIN_2_FLEET_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// Milliseconds since the start of the case.
std::int64_t NowMs();
void SleepUntil(std::int64_t at_ms);

/// Writes lines with their time to record.txt and to standard output.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Line(const std::string& text);
  /// Writes to the file only.
  void Detail(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

using Fields = std::vector<std::pair<std::string, std::string>>;

/// A request as a server reads it.
struct ServerRequest {
  std::string method;
  std::string target;
  Fields fields;
  std::string body;
  [[nodiscard]] std::string Field(const std::string& name) const;
};

/// Status 0: no whole answer came.
struct Answer {
  int status = 0;
  Fields fields;
  std::string body;
};

/// Sends one request on a connection of its own.
Answer Call(const std::string& address,
            int port,
            const std::string& method,
            const std::string& target,
            const Fields& fields,
            const std::string& body,
            int timeout_ms);

/// Where the processes of the deployment listen; the ports are the same on all
/// addresses.
struct Ports {
  int control = 0;
  int callers = 0;
  int ready = 0;
  int metrics = 0;
  int control_peers = 0;
  int entry_peers = 0;
  int servers = 0;
};

/// The system's own processes.
class Fleet {
 public:
  Fleet(const std::string& folder, int control_hosts, int entry_hosts);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts the process of `address` with the command of the deploy file.
  bool Start(const std::string& address);
  bool StartAll();
  void Kill(const std::string& address);
  void KillAll();
  /// From now on processes start as later ones do, not as at the first start.
  void EndFirstStart() { first_start_ = false; }
  [[nodiscard]] bool IsReady(const std::string& address) const;
  /// Waits until all entry hosts are ready.
  [[nodiscard]] bool WaitUntilReady(std::int64_t until_ms) const;
  /// Sends a list of routes until it is acknowledged.
  [[nodiscard]] bool SendRoutes(const std::string& list,
                                std::int64_t until_ms) const;

  [[nodiscard]] const std::vector<std::string>& control() const {
    return control_;
  }
  [[nodiscard]] const std::vector<std::string>& entry() const { return entry_; }
  [[nodiscard]] const Ports& ports() const { return ports_; }

 private:
  void WriteSettings(const std::string& address) const;
  [[nodiscard]] bool IsControl(const std::string& address) const;

  std::string folder_;
  std::vector<std::string> control_;
  std::vector<std::string> entry_;
  Ports ports_;
  bool first_start_ = true;
  std::map<std::string, pid_t> processes_;
};

/// A plain server that announces itself.
class Server {
 public:
  /// Answers one request that names this server. Returns whether the whole
  /// answer is to be sent; if not, the connection is reset.
  using Runner = std::function<bool(const ServerRequest& request)>;

  Server(const Fleet& fleet,
         std::string id,
         std::string address,
         std::string service,
         Runner on_run,
         bool announces = true);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Says that it leaves, without saying before that it drains, and serves on.
  /// Returns when that was confirmed; -1 if it wasn't.
  std::int64_t Deregister();
  /// Makes the next heartbeat, to be delivered later.
  std::string NextBeat();
  /// Delivers a heartbeat; returns whether it was confirmed.
  bool Deliver(const std::string& beat);
  [[nodiscard]] const std::string& id() const { return id_; }

 private:
  void Accept();
  void Serve(int socket);
  void Announce();
  std::string NextWords();
  bool Say(const std::string& path, const std::string& words, unsigned first);

  const Fleet& fleet_;
  std::string id_;
  std::string address_;
  std::string service_;
  Runner on_run_;
  std::uint64_t born_ms_;
  std::mutex say_mutex_;
  unsigned sequence_ = 0;
  int listener_ = -1;
  std::atomic<bool> announces_;
  std::atomic<bool> ends_{false};
  std::vector<std::thread> threads_;
};

/// A list of routes with one route, to one service.
std::string ListOf(const std::string& kind, int max_attempts, int timeout_ms);
inline constexpr char kRouteHost[] = "desk.example";
inline constexpr char kRoutePath[] = "/desk/";
inline constexpr char kService[] = "desk";

}  // namespace review

#endif  // REVIEW_STANDIN_2_FLEET_H_
