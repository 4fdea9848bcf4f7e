#ifndef REVIEW_STANDIN_3_STANDIN_H_
#define REVIEW_STANDIN_3_STANDIN_H_

// Stand-ins of the third review: clients, runners and an operator that speak
// the users' PROTOCOL.md over blocking sockets, one thread a connection.

#include <atomic>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// Milliseconds of the steady clock.
std::int64_t NowMs();
/// Milliseconds since 1970.
std::int64_t UnixMs();
void SleepMs(std::int64_t ms);

struct Address {
  std::string ip;
  std::uint16_t port = 0;
};

/// Writes lines with the time since the start to record.txt, and to standard
/// output those of Say().
class Record {
 public:
  static void Open(const std::string& path);
  static void Line(const std::string& text);
  static void Say(const std::string& text);
};

/// The head and the body of an HTTP message. Names of fields in lower case.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> fields;
  std::string body;

  [[nodiscard]] std::string Field(const std::string& name) const;
  /// The status of a response; 0 if there is none.
  [[nodiscard]] int Status() const;
};

/// A blocking TCP connection with a time limit for each read.
class Connection {
 public:
  Connection() = default;
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Connects; `receive_buffer` sets SO_RCVBUF unless it is 0.
  bool Connect(const Address& to, int receive_buffer = 0);
  [[nodiscard]] bool open() const { return fd_ >= 0; }
  bool Send(const std::string& bytes);
  /// Reads up to `most` bytes, within `limit_ms`. Returns nullopt at a time
  /// limit or an error, which error() then names, and "" at the end.
  std::optional<std::string> Read(std::size_t most, std::int64_t limit_ms);
  /// Reads one message. `has_body` is false for the answer to HEAD.
  std::optional<Message> ReadMessage(std::int64_t limit_ms,
                                     bool has_body = true);
  /// Returns the bytes that were read behind the last message.
  [[nodiscard]] const std::string& rest() const { return buffer_; }
  [[nodiscard]] const std::string& error() const { return error_; }
  /// Ends the connection, also under a read of another thread.
  void Shut() const;
  void Close();

 private:
  /// Reads until `n` bytes are there.
  bool Fill(std::size_t n, std::int64_t until_ms);
  bool ReadChunks(std::string& body, std::int64_t until_ms);

  int fd_ = -1;
  std::string buffer_;
  std::string error_;
};

/// Calls one that serves control, as runners and the operator do: follows a
/// 307 twice, and moves on to the next after a failure or a 5xx.
class ControlCaller {
 public:
  explicit ControlCaller(std::vector<Address> control)
      : control_(std::move(control)) {}

  /// Returns the first clear answer within `limit_ms`.
  std::optional<Message> Call(const std::string& method,
                              const std::string& path,
                              const std::string& body,
                              std::int64_t limit_ms);

 private:
  std::optional<Message> CallOne(Address to,
                                 const std::string& method,
                                 const std::string& path,
                                 const std::string& body);

  std::vector<Address> control_;
  std::size_t next_ = 0;
};

/// One runner: announces itself, takes requests, leaves or crashes.
class Runner {
 public:
  /// Writes the answer to a request.
  using Handler = std::function<void(const Message& request, Connection& to)>;

  struct Options {
    std::string id;
    std::string service;
    Address address;
    std::vector<Address> control;
    /// By how much its clock is ahead when it starts.
    std::int64_t clock_ahead_ms = 0;
    std::string version = "v1";
  };

  Runner(Options options, Handler handler);
  ~Runner();
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  /// Says that it drains until that is confirmed; returns when it was, 0 if it
  /// was not within `limit_ms`.
  std::int64_t Drain(std::int64_t limit_ms);
  /// Says that it is gone.
  void Deregister();
  /// Ends at once: closes all connections and says nothing.
  void Crash();

  /// The requests that it ran so far, each with its time.
  std::vector<std::pair<std::int64_t, std::string>> Ran();
  [[nodiscard]] std::uint64_t born_ms() const { return born_ms_; }

 private:
  bool Announce(std::int64_t limit_ms);
  void Accept();
  void Serve(const std::shared_ptr<Connection>& connection);

  Options options_;
  Handler handler_;
  std::uint64_t born_ms_;
  std::mutex mutex_;
  std::uint64_t sequence_ = 0;
  bool draining_ = false;
  std::vector<std::pair<std::int64_t, std::string>> ran_;
  std::vector<std::shared_ptr<Connection>> connections_;
  std::vector<std::thread> threads_;
  std::atomic<bool> up_{true};
  int listener_ = -1;
};

/// What the settings of run.sh say, from the environment.
struct Fleet {
  std::vector<Address> front;
  std::vector<Address> ready;
  std::vector<Address> control;
  std::uint16_t runner_port = 0;
  bool has_trouble = true;

  static Fleet FromEnvironment();
  /// Waits until every front machine says that it is ready.
  [[nodiscard]] bool WaitReady(std::int64_t limit_ms) const;
};

/// Returns the head of a client's request.
std::string RequestHead(const std::string& method,
                        const std::string& path,
                        const std::string& id,
                        std::size_t body_bytes,
                        std::int64_t deadline_ms);
/// Returns the head of a runner's answer to `request`; without a length it is
/// sent in chunks.
std::string AnswerHead(const Message& request,
                       std::optional<std::size_t> length);
/// Returns a plain answer: its body names the request.
std::string PlainAnswer(const Message& request);

/// A manifest with the given routes and limits, each a JSON text.
std::string Manifest(int version,
                     const std::string& routes,
                     std::size_t max_body_bytes);
/// A route of the service "desk".
std::string PlainRoute(const std::string& prefix, const std::string& kind);

/// Exit codes of a script.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

}  // namespace review

#endif  // REVIEW_STANDIN_3_STANDIN_H_
