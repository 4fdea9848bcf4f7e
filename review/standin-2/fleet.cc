#include "fleet.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <sstream>
#include <utility>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;

const Clock::time_point kStart = Clock::now();

constexpr int kBeatMs = 1200;
constexpr int kFirstPort = 20000;
constexpr int kLastPort = 32000;
constexpr int kPortStep = 100;
constexpr int kMostServers = 14;

sockaddr_in SocketAddress(const std::string& address, int port) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, address.c_str(), &result.sin_addr);
  return result;
}

bool IsFree(const std::string& address, int port, int type) {
  const int fd = socket(AF_INET, type, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in at = SocketAddress(address, port);
  const bool is_free =
      bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0;
  close(fd);
  return is_free;
}

bool SameName(const std::string& left, const std::string& right) {
  return strcasecmp(left.c_str(), right.c_str()) == 0;
}

std::string FieldOf(const Fields& fields, const std::string& name) {
  for (const auto& [key, value] : fields) {
    if (SameName(key, name))
      return value;
  }
  return {};
}

/// Reads messages from a socket.
class Reader {
 public:
  Reader(int fd, int timeout_ms) : fd_(fd), until_(NowMs() + timeout_ms) {}

  void Allow(int timeout_ms) { until_ = NowMs() + timeout_ms; }

  /// Reads a head; the first line goes to `first`.
  bool ReadHead(std::string& first, Fields& fields) {
    std::size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!ReadMore())
        return false;
    }
    std::istringstream head(buffer_.substr(0, end + 2));
    buffer_.erase(0, end + 4);
    std::getline(head, first);
    fields.clear();
    std::string line;
    while (std::getline(head, line)) {
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos)
        continue;
      const std::size_t from = line.find_first_not_of(' ', colon + 1);
      const std::size_t to = line.find_last_not_of("\r ");
      const bool is_empty = from == std::string::npos || to < from;
      fields.emplace_back(line.substr(0, colon),
                          is_empty ? "" : line.substr(from, to - from + 1));
    }
    return true;
  }

  bool ReadBody(const Fields& fields, std::string& body) {
    const std::string length = FieldOf(fields, "Content-Length");
    const std::size_t n =
        length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
    while (buffer_.size() < n) {
      if (!ReadMore())
        return false;
    }
    body = buffer_.substr(0, n);
    buffer_.erase(0, n);
    return true;
  }

 private:
  bool ReadMore() {
    pollfd wait{fd_, POLLIN, 0};
    const std::int64_t left = until_ - NowMs();
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) <= 0)
      return false;
    std::array<char, 4096> bytes{};
    const ssize_t n = recv(fd_, bytes.data(), bytes.size(), 0);
    if (n <= 0)
      return false;
    buffer_.append(bytes.data(), static_cast<std::size_t>(n));
    return true;
  }

  int fd_;
  std::int64_t until_;
  std::string buffer_;
};

bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

void CloseWithReset(int fd) {
  const linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

}  // namespace

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               kStart)
      .count();
}

void SleepUntil(std::int64_t at_ms) {
  const std::int64_t left = at_ms - NowMs();
  if (left > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(left));
}

void Record::Line(const std::string& text) {
  Detail(text);
  std::cout << NowMs() << " ms  " << text << std::endl;
}

void Record::Detail(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  file_ << NowMs() << " ms  " << text << "\n";
  file_.flush();
}

std::string ServerRequest::Field(const std::string& name) const {
  return FieldOf(fields, name);
}

Answer Call(const std::string& address,
            int port,
            const std::string& method,
            const std::string& target,
            const Fields& fields,
            const std::string& body,
            int timeout_ms) {
  Answer answer;
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000L};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in at = SocketAddress(address, port);
  std::string head = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : fields)
    head.append(name).append(": ").append(value).append("\r\n");
  if (!body.empty())
    head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  head += "\r\n";
  Reader reader(fd, timeout_ms);
  std::string first;
  const bool is_whole =
      connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0 &&
      SendAll(fd, head + body) && reader.ReadHead(first, answer.fields) &&
      reader.ReadBody(answer.fields, answer.body);
  if (is_whole && first.size() > 12)
    answer.status = std::atoi(first.c_str() + 9);
  close(fd);
  return answer;
}

Fleet::Fleet(const std::string& folder, int control_hosts, int entry_hosts)
    : folder_(folder) {
  for (int i = 1; i <= control_hosts; ++i)
    control_.push_back("127.0.21." + std::to_string(i));
  for (int i = 1; i <= entry_hosts; ++i)
    entry_.push_back("127.0.22." + std::to_string(i));
  std::vector<std::string> all = control_;
  all.insert(all.end(), entry_.begin(), entry_.end());
  for (int i = 1; i <= kMostServers; ++i)
    all.push_back("127.0.23." + std::to_string(i));
  for (int base = kFirstPort; base < kLastPort; base += kPortStep) {
    bool is_free = true;
    for (const std::string& it : all) {
      for (int offset = 0; offset <= 16 && is_free; ++offset) {
        is_free = IsFree(it, base + offset, SOCK_STREAM) &&
                  IsFree(it, base + offset, SOCK_DGRAM);
      }
    }
    if (!is_free)
      continue;
    ports_ = {base + 1,  base + 2,  base + 3, base + 4,
              base + 10, base + 12, base + 16};
    break;
  }
}

Fleet::~Fleet() {
  KillAll();
}

bool Fleet::IsControl(const std::string& address) const {
  return std::find(control_.begin(), control_.end(), address) != control_.end();
}

void Fleet::WriteSettings(const std::string& address) const {
  std::string seeds;
  for (const std::string& it : control_) {
    seeds += (seeds.empty() ? "\"" : ", \"") + it + ":" +
             std::to_string(ports_.control) + "\"";
  }
  const std::string data = folder_ + "/data-" + address;
  mkdir(data.c_str(), 0755);
  const auto at = [&](int port) {
    return "\"" + address + ":" + std::to_string(port) + "\"";
  };
  const bool is_control = IsControl(address);
  std::ofstream file(folder_ + "/" + address + ".json");
  file << "{\"name\": \"host-" << address.substr(address.rfind('.') + 1)
       << (is_control ? "-core" : "-front") << "\", \"address\": \"" << address
       << "\", \"data_centre\": \"bangna\",\n \"control_peer_port\": "
       << ports_.control_peers
       << ", \"entry_peer_port\": " << ports_.entry_peers << ",\n \"seeds\": ["
       << seeds << "],\n \"first_start\": " << (first_start_ ? "true" : "false")
       << ", \"lost_hosts_borne\": 1, \"data_folder\": \""
       << (is_control ? data : std::string())
       << "\",\n \"callers\": " << (is_control ? "\"\"" : at(ports_.callers))
       << ", \"ready\": " << (is_control ? "\"\"" : at(ports_.ready))
       << ", \"control\": " << (is_control ? at(ports_.control) : "\"\"")
       << ", \"metrics\": " << at(ports_.metrics)
       << ",\n \"retry_ratio\": 0.2, \"retry_slack\": 54,"
          " \"retry_window_ms\": 10000, \"stop_timeout_ms\": 8000,\n"
          " \"memory_mb\": 256, \"max_descriptors\": 4096,\n"
          " \"frame_key\": \"6272696172206c6561642066726f6e7420616e6420636f"
          "7265206672616d6573\"}\n";
}

bool Fleet::Start(const std::string& address) {
  WriteSettings(address);
  const std::string settings = folder_ + "/" + address + ".json";
  const std::string log = folder_ + "/" + address + ".log";
  const pid_t child = fork();
  if (child < 0)
    return false;
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("BRIARLEAD_CONFIG", settings.c_str(), 1);
    if (freopen(log.c_str(), "a", stdout) == nullptr ||
        dup2(fileno(stdout), STDERR_FILENO) < 0) {
      _exit(2);
    }
    for (int fd = 3; fd < 1024; ++fd)
      close(fd);
    execl("target/bin/briarlead", "briarlead",
          IsControl(address) ? "registry" : "gateway", nullptr);
    _exit(2);
  }
  processes_[address] = child;
  return true;
}

bool Fleet::StartAll() {
  bool started = ports_.control != 0;
  for (const std::string& it : control_)
    started = started && Start(it);
  for (const std::string& it : entry_)
    started = started && Start(it);
  return started;
}

void Fleet::Kill(const std::string& address) {
  const auto found = processes_.find(address);
  if (found == processes_.end())
    return;
  kill(found->second, SIGKILL);
  waitpid(found->second, nullptr, 0);
  processes_.erase(found);
}

void Fleet::KillAll() {
  for (const auto& [address, process] : processes_)
    kill(process, SIGKILL);
  for (const auto& [address, process] : processes_)
    waitpid(process, nullptr, 0);
  processes_.clear();
}

bool Fleet::IsReady(const std::string& address) const {
  return Call(address, ports_.ready, "GET", "/readiness", {{"Host", "entry"}},
              "", 500)
             .status == 200;
}

bool Fleet::WaitUntilReady(std::int64_t until_ms) const {
  while (NowMs() < until_ms) {
    const bool all =
        std::all_of(entry_.begin(), entry_.end(),
                    [this](const auto& it) { return IsReady(it); });
    if (all)
      return true;
    SleepUntil(NowMs() + 50);
  }
  return false;
}

bool Fleet::SendRoutes(const std::string& list, std::int64_t until_ms) const {
  while (NowMs() < until_ms) {
    for (const std::string& it : control_) {
      const Answer answer =
          Call(it, ports_.control, "POST", "/Config.Replace",
               {{"Host", "control"}, {"Content-Type", "application/json"}},
               list, 1000);
      if (answer.status == 200)
        return true;
    }
    SleepUntil(NowMs() + 100);
  }
  return false;
}

Server::Server(const Fleet& fleet,
               std::string id,
               std::string address,
               std::string service,
               Runner on_run,
               bool announces)
    : fleet_(fleet),
      id_(std::move(id)),
      address_(std::move(address)),
      service_(std::move(service)),
      on_run_(std::move(on_run)),
      born_ms_(static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count())),
      announces_(announces) {
  listener_ = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in at = SocketAddress(address_, fleet_.ports().servers);
  if (bind(listener_, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) !=
          0 ||
      listen(listener_, 512) != 0) {
    std::cerr << "no port for a server\n";
    std::exit(2);
  }
  threads_.emplace_back([this] { Accept(); });
  threads_.emplace_back([this] { Announce(); });
}

Server::~Server() {
  ends_ = true;
  shutdown(listener_, SHUT_RDWR);
  for (std::thread& it : threads_)
    it.join();
  close(listener_);
}

void Server::Accept() {
  std::vector<std::thread> connections;
  while (!ends_) {
    pollfd wait{listener_, POLLIN, 0};
    if (poll(&wait, 1, 100) <= 0)
      continue;
    const int fd = accept(listener_, nullptr, nullptr);
    if (fd >= 0)
      connections.emplace_back([this, fd] { Serve(fd); });
  }
  for (std::thread& it : connections)
    it.join();
}

void Server::Serve(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  Reader reader(socket, 0);
  ServerRequest request;
  std::string first;
  bool goes_on = true;
  while (goes_on && !ends_) {
    reader.Allow(2000);
    if (!reader.ReadHead(first, request.fields) ||
        !reader.ReadBody(request.fields, request.body)) {
      break;
    }
    std::istringstream line(first);
    line >> request.method >> request.target;
    const std::string id = request.Field("X-Briarlead-Request-Id");
    std::string answer;
    if (request.target == "/health") {
      answer = "HTTP/1.1 200 OK\r\nX-Briarlead-Instance-Id: " + id_ +
               "\r\nContent-Length: 0\r\n\r\n";
    } else if (request.Field("X-Briarlead-Expect-Instance") != id_) {
      answer =
          "HTTP/1.1 421 Misdirected Request\r\nX-Briarlead-Not-Executed: 1\r\n"
          "X-Briarlead-Request-Id: " +
          id + "\r\nContent-Length: 0\r\n\r\n";
    } else if (on_run_(request)) {
      const std::string body = "run " + id + " by " + id_;
      answer.append("HTTP/1.1 200 OK\r\nX-Briarlead-Request-Id: ")
          .append(id)
          .append("\r\nX-Briarlead-Server-Stamp: stamp-")
          .append(id_)
          .append("\r\nKeep-Alive: timeout=2\r\nContent-Length: ")
          .append(std::to_string(body.size()))
          .append("\r\n\r\n")
          .append(body);
    } else {
      CloseWithReset(socket);
      break;
    }
    goes_on = SendAll(socket, answer);
  }
  close(socket);
}

void Server::Announce() {
  std::int64_t next = NowMs();
  while (!ends_) {
    if (NowMs() >= next && announces_) {
      const std::lock_guard<std::mutex> lock(say_mutex_);
      const std::string words = NextWords();
      Say("/Instances.Heartbeat/", words, sequence_);
      next = NowMs() + kBeatMs;
    }
    SleepUntil(NowMs() + 20);
  }
}

std::string Server::NextWords() {
  return "{\"Service\":\"" + service_ + "\",\"Address\":\"" + address_ + ":" +
         std::to_string(fleet_.ports().servers) +
         "\",\"Zone\":\"bangna\",\"Version\":\"v1\",\"Slots\":6,\"State\":"
         "\"ready\",\"ColdRemainingMs\":0,\"Sequence\":" +
         std::to_string(++sequence_) + ",\"born\":" + std::to_string(born_ms_) +
         "}";
}

bool Server::Say(const std::string& path,
                 const std::string& words,
                 unsigned first) {
  const std::vector<std::string>& hosts = fleet_.control();
  for (std::size_t i = 0; i < 4 * hosts.size() && !ends_; ++i) {
    const Answer answer = Call(
        hosts[(first + i) % hosts.size()], fleet_.ports().control, "POST",
        path + id_, {{"Host", "control"}, {"Content-Type", "application/json"}},
        words, 1000);
    if (answer.status >= 200 && answer.status < 300)
      return true;
    SleepUntil(NowMs() + 50);
  }
  return false;
}

std::int64_t Server::Deregister() {
  announces_ = false;
  const std::lock_guard<std::mutex> lock(say_mutex_);
  const std::string words = NextWords();
  return Say("/Instances.Deregister/", words, sequence_) ? NowMs() : -1;
}

std::string Server::NextBeat() {
  const std::lock_guard<std::mutex> lock(say_mutex_);
  return NextWords();
}

bool Server::Deliver(const std::string& beat) {
  return Say("/Instances.Heartbeat/", beat, 0);
}

std::string ListOf(const std::string& kind, int max_attempts, int timeout_ms) {
  std::ostringstream list;
  list << R"({"Version":7,"Routes":[{"Name":"r-1","Host":")" << kRouteHost
       << R"(","PathPrefix":")" << kRoutePath << R"(","Kind":")" << kind
       << R"(","TimeoutMs":)" << timeout_ms
       << R"(,"TargetLatencyMs":100,"Priority":0,"Service":")" << kService
       << R"(","MaxAttempts":)" << max_attempts
       << R"(,"Sticky":false}],"Services":[{"Name":")" << kService
       << R"(","HealthPath":"/health","MaxConns":100,"Protocol":"h1",)"
       << R"("Tls":false}],"Limits":{"MaxHeaderBytes":16384,)"
       << R"("MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,)"
       << R"("IdleTimeoutMs":15000}})";
  return list.str();
}

}  // namespace review
