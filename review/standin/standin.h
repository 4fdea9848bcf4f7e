// Small stand-ins of the platform for the cases under review/: they start the
// processes of the deploy file, and play an operator, servers and callers with
// plain sockets and one thread for each connection.

#ifndef REVIEW_STANDIN_STANDIN_H_
#define REVIEW_STANDIN_STANDIN_H_

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace standin {

/// Returns the milliseconds since the program began.
double Now();
void SleepMs(double ms);

/// Returns whether the case plays its disruption (TROUBLE is not "0").
bool HasTrouble();

/// Writes a line to record.txt in the folder of the case, and to stdout.
void Record(const std::string& line);

/// Returns the parts as one text.
std::string Join(std::initializer_list<std::string_view> parts);

/// A socket with a buffer; closes on destruction. All calls block.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  ~Socket() { Close(); }
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  /// Returns an invalid socket if nothing accepts within `timeout_ms`.
  static Socket Connect(const std::string& address,
                        int port,
                        double timeout_ms,
                        int receive_buffer = 0);
  [[nodiscard]] bool valid() const { return fd_ >= 0; }
  [[nodiscard]] int fd() const { return fd_; }
  bool Write(const std::string& bytes) const;
  /// Waits for bytes up to `timeout_ms` and appends them to `buffer`. Returns
  /// the number of bytes, 0 at the orderly end, -1 on an error, -2 when nothing
  /// came in time.
  [[nodiscard]] int Read(std::string& buffer, double timeout_ms) const;
  void Close();
  /// Closes with a reset.
  void Reset();

 private:
  int fd_ = -1;
};

/// A message of HTTP/1.1, read from a socket.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> fields;  ///< Names in lower case.
  std::string body;
  bool complete = false;
  bool has_head = false;

  [[nodiscard]] int status() const;
  [[nodiscard]] std::string field(const std::string& name) const;
};

/// Reads the head of a message, leaving what follows in `buffer`.
bool ReadHead(Socket& socket,
              std::string& buffer,
              Message& message,
              double timeout_ms);
/// Reads a body with a length, in chunks, or, for responses, until the end.
bool ReadBody(Socket& socket,
              std::string& buffer,
              Message& message,
              bool is_response,
              double timeout_ms);
/// Sends a call on a new connection and reads its response.
Message Call(const std::string& address,
             int port,
             const std::string& bytes,
             double timeout_ms);

/// A process of the deploy file.
struct Process {
  std::string role;
  std::string address;
  std::string data_centre;
  std::string settings;
  std::string log;
  pid_t pid = 0;
};

/// The processes of a small deployment on loopback, in a temporary folder.
class Fleet {
 public:
  /// Three control hosts and `gateways` entry hosts; those beyond the first
  /// `gateways_here` stand in another data centre.
  explicit Fleet(int gateways, double grace_s = 8, int gateways_here = 8);
  ~Fleet();

  void StartAll();
  void Start(Process& process) const;
  /// Ends the process at once.
  static void Kill(Process& process);
  /// Returns whether the process has ended; `status` is that of waitpid().
  static bool HasEnded(Process& process, int& status);
  /// Sends a manifest until it is acknowledged.
  bool Replace(const std::string& manifest) const;
  /// Waits until all entry hosts are ready.
  bool WaitUntilReady() const;

  [[nodiscard]] Process& gateway(int i) { return gateways_.at(i); }
  [[nodiscard]] Process& control(int i) { return controls_.at(i); }
  [[nodiscard]] int callers_port() const { return port_ + 2; }
  [[nodiscard]] int ready_port() const { return port_ + 3; }
  [[nodiscard]] int control_port() const { return port_ + 4; }
  [[nodiscard]] std::vector<std::string> control_addresses() const;
  [[nodiscard]] const std::string& folder() const { return folder_; }

 private:
  void WriteSettings(const Process& process) const;

  std::string folder_;
  int port_ = 0;
  double grace_s_;
  std::vector<Process> controls_;
  std::vector<Process> gateways_;
};

/// Accepts connections on loopback and gives each to a thread.
class Listener {
 public:
  using Handler = std::function<void(Socket socket)>;
  /// With a `receive_buffer`, connections have small windows.
  Listener(std::string address,
           int port,
           Handler handler,
           int receive_buffer = 0);
  ~Listener();
  /// Stops accepting: new connections are refused. Open ones live on.
  void Pause();
  void Resume();
  [[nodiscard]] int port() const { return port_; }
  [[nodiscard]] const std::string& address() const { return address_; }

 private:
  bool Bind();
  void Run();

  std::string address_;
  int port_;
  Handler handler_;
  int receive_buffer_;
  std::mutex mutex_;
  int fd_ = -1;
  std::atomic<bool> stops_ = false;
  std::thread thread_;
};

/// What a server announces.
struct Announcement {
  std::string id;
  std::string service;
  std::string address;
  int port = 0;
  int slots = 64;
};

/// Announces servers every 400 ms until destroyed.
class Announcer {
 public:
  Announcer(const Fleet& fleet, std::vector<Announcement> servers);
  ~Announcer();

 private:
  void Run(const Fleet& fleet);
  std::vector<Announcement> servers_;
  std::atomic<bool> stops_ = false;
  std::thread thread_;
};

}  // namespace standin

#endif  // REVIEW_STANDIN_STANDIN_H_
