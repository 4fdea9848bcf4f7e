#include "standin.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <utility>

namespace standin {

namespace {

constexpr int kControlHosts = 3;
constexpr int kPortsOfAFleet = 8;
/// Last part of the first host's address on loopback.
constexpr int kFirstHost = 11;
constexpr int kMostHosts = 8;
constexpr std::size_t kReadBytes = 65536;

sockaddr_in AddressOf(const std::string& address, int port) {
  sockaddr_in it{};
  it.sin_family = AF_INET;
  it.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, address.c_str(), &it.sin_addr);
  return it;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

bool Waits(int fd, int16_t events, double timeout_ms) {
  pollfd it{fd, events, 0};
  return poll(&it, 1, static_cast<int>(timeout_ms)) > 0;
}

std::string HostAddress(int host) {
  return "127.0.0." + std::to_string(kFirstHost + host);
}

bool IsFree(const std::string& address, int port, int type) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (type == SOCK_STREAM)
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in at = AddressOf(address, port);
  const bool is_free =
      bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0;
  close(fd);
  return is_free;
}

/// Returns the first of a few adjacent ports that nothing uses on the addresses
/// of a fleet.
int FreePorts() {
  std::random_device random;
  for (int tries = 0; tries < 1000; ++tries) {
    const int first = 20000 + static_cast<int>(random() % 10000);
    bool all_free = true;
    for (int host = 0; host < kMostHosts && all_free; ++host) {
      for (int i = 0; i < kPortsOfAFleet && all_free; ++i) {
        const std::string address = HostAddress(host);
        all_free = IsFree(address, first + i, SOCK_STREAM) &&
                   IsFree(address, first + i, SOCK_DGRAM);
      }
    }
    if (all_free)
      return first;
  }
  return 20000;
}

std::mutex& RecordMutex() {
  static std::mutex mutex;
  return mutex;
}

}  // namespace

double Now() {
  static const auto kStart = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - kStart)
      .count();
}

void SleepMs(double ms) {
  if (ms > 0)
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void Record(const std::string& line) {
  const std::lock_guard lock(RecordMutex());
  static std::ofstream file("record.txt");
  char stamp[32];
  std::snprintf(stamp, sizeof(stamp), "%9.1f ms  ", Now());
  file << stamp << line << std::endl;
  std::printf("%s%s\n", stamp, line.c_str());
  std::fflush(stdout);
}

std::string Join(std::initializer_list<std::string_view> parts) {
  std::string text;
  for (const std::string_view it : parts)
    text += it;
  return text;
}

Socket::Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  std::swap(fd_, other.fd_);
  return *this;
}

Socket Socket::Connect(const std::string& address,
                       int port,
                       double timeout_ms,
                       int receive_buffer) {
  Socket it(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (receive_buffer > 0) {
    setsockopt(it.fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  }
  const int flags = fcntl(it.fd_, F_GETFL);
  fcntl(it.fd_, F_SETFL, flags | O_NONBLOCK);
  const sockaddr_in to = AddressOf(address, port);
  int error = 0;
  socklen_t size = sizeof(error);
  if (connect(it.fd_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) !=
          0 &&
      (errno != EINPROGRESS || !Waits(it.fd_, POLLOUT, timeout_ms) ||
       getsockopt(it.fd_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
       error != 0)) {
    it.Close();
    return it;
  }
  fcntl(it.fd_, F_SETFL, flags);
  const int on = 1;
  setsockopt(it.fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return it;
}

bool Socket::Write(const std::string& bytes) const {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t n =
        send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR)
      continue;
    if (n <= 0)
      return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

int Socket::Read(std::string& buffer, double timeout_ms) const {
  if (!Waits(fd_, POLLIN, std::max(timeout_ms, 0.0)))
    return -2;
  std::string part(kReadBytes, '\0');
  const ssize_t n = recv(fd_, part.data(), part.size(), 0);
  if (n > 0)
    buffer.append(part, 0, static_cast<std::size_t>(n));
  return n < 0 ? -1 : static_cast<int>(n);
}

void Socket::Close() {
  if (fd_ >= 0)
    close(std::exchange(fd_, -1));
}

void Socket::Reset() {
  const linger it{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &it, sizeof(it));
  Close();
}

int Message::status() const {
  const std::size_t space = first_line.find(' ');
  return space == std::string::npos ? 0 : std::atoi(first_line.c_str() + space);
}

std::string Message::field(const std::string& name) const {
  const auto found = fields.find(Lower(name));
  return found == fields.end() ? std::string() : found->second;
}

bool ReadHead(Socket& socket,
              std::string& buffer,
              Message& message,
              double timeout_ms) {
  const double end = Now() + timeout_ms;
  std::size_t length = buffer.find("\r\n\r\n");
  while (length == std::string::npos) {
    if (socket.Read(buffer, end - Now()) <= 0)
      return false;
    length = buffer.find("\r\n\r\n");
  }
  std::istringstream head(buffer.substr(0, length + 2));
  buffer.erase(0, length + 4);
  std::string line;
  bool is_first = true;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    if (std::exchange(is_first, false)) {
      message.first_line = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.fields[Lower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
  }
  message.has_head = true;
  return true;
}

namespace {

/// Reads until `buffer` has `size` bytes.
bool Fill(Socket& socket, std::string& buffer, std::size_t size, double end) {
  while (buffer.size() < size) {
    if (socket.Read(buffer, end - Now()) <= 0)
      return false;
  }
  return true;
}

bool ReadChunks(Socket& socket,
                std::string& buffer,
                Message& message,
                double end) {
  for (;;) {
    std::size_t line = buffer.find("\r\n");
    while (line == std::string::npos) {
      if (socket.Read(buffer, end - Now()) <= 0)
        return false;
      line = buffer.find("\r\n");
    }
    const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
    buffer.erase(0, line + 2);
    if (!Fill(socket, buffer, size + 2, end)) {
      message.body += buffer.substr(0, size);
      return false;
    }
    message.body.append(buffer, 0, size);
    buffer.erase(0, size + 2);
    if (size == 0)
      return true;
  }
}

}  // namespace

bool ReadBody(Socket& socket,
              std::string& buffer,
              Message& message,
              bool is_response,
              double timeout_ms) {
  const double end = Now() + timeout_ms;
  const std::string length = message.field("Content-Length");
  if (Lower(message.field("Transfer-Encoding")) == "chunked") {
    message.complete = ReadChunks(socket, buffer, message, end);
  } else if (!length.empty()) {
    const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
    message.complete = Fill(socket, buffer, size, end);
    message.body = buffer.substr(0, size);
    buffer.erase(0, message.body.size());
  } else if (is_response) {
    int n = 0;
    do {
      n = socket.Read(buffer, end - Now());
    } while (n > 0);
    message.body = std::exchange(buffer, {});
    message.complete = n == 0;
  } else {
    message.complete = true;
  }
  return message.complete;
}

Message Call(const std::string& address,
             int port,
             const std::string& bytes,
             double timeout_ms) {
  Message message;
  Socket socket = Socket::Connect(address, port, timeout_ms);
  std::string buffer;
  if (socket.valid() && socket.Write(bytes) &&
      ReadHead(socket, buffer, message, timeout_ms)) {
    ReadBody(socket, buffer, message, true, timeout_ms);
  }
  return message;
}

Fleet::Fleet(int gateways, double grace_s, int gateways_here)
    : port_(FreePorts()), grace_s_(grace_s) {
  std::signal(SIGPIPE, SIG_IGN);
  std::string name =
      (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
  folder_ = mkdtemp(name.data());
  for (int i = 0; i < kControlHosts + gateways; ++i) {
    Process it;
    const bool is_control = i < kControlHosts;
    it.role = is_control ? "registry" : "gateway";
    it.address = HostAddress(i);
    it.data_centre = i >= kControlHosts + gateways_here ? "there" : "here";
    it.settings = folder_ + "/" + it.address + ".json";
    it.log = folder_ + "/" + it.address + ".log";
    WriteSettings(it);
    (is_control ? controls_ : gateways_).push_back(it);
  }
}

Fleet::~Fleet() {
  for (Process& it : controls_)
    Kill(it);
  for (Process& it : gateways_)
    Kill(it);
  std::error_code ec;
  if (std::getenv("KEEP_LOGS") == nullptr)
    std::filesystem::remove_all(folder_, ec);
  else
    Record("logs are in " + folder_);
}

std::vector<std::string> Fleet::control_addresses() const {
  std::vector<std::string> addresses;
  for (const Process& it : controls_)
    addresses.push_back(it.address);
  return addresses;
}

/// The fields of deploy/settings.json, as a small site would fill them in.
void Fleet::WriteSettings(const Process& process) const {
  const std::string data = folder_ + "/data-" + process.address;
  std::filesystem::create_directory(data);
  std::string seeds;
  for (int i = 0; i < kControlHosts; ++i) {
    seeds += (i == 0 ? "\"" : ",\"") + HostAddress(i) + ":" +
             std::to_string(control_port()) + "\"";
  }
  const auto at = [&](int port) {
    return "\"" + process.address + ":" + std::to_string(port) + "\"";
  };
  const bool is_control = process.role == "registry";
  std::ofstream(process.settings)
      << "{\"name\": \"host-" << process.address << "\", \"address\": \""
      << process.address << "\", \"data_centre\": \"" << process.data_centre
      << "\",\n"
      << " \"control_peer_port\": " << port_
      << ", \"entry_peer_port\": " << port_ + 1
      << ", \"relay_port\": " << port_ + 6 << ",\n \"seeds\": [" << seeds
      << "], \"first_start\": true, \"lost_hosts_borne\": 1,\n"
      << " \"data_folder\": \"" << (is_control ? data : "") << "\",\n"
      << " \"callers\": " << (is_control ? "\"\"" : at(callers_port()))
      << ", \"ready\": " << (is_control ? "\"\"" : at(ready_port()))
      << ", \"control\": " << (is_control ? at(control_port()) : "\"\"")
      << ",\n \"metrics\": " << at(port_ + 5)
      << ", \"retry_ratio\": 0.2, \"retry_slack\": 58, "
      << "\"retry_window_ms\": 10000,\n \"stop_timeout_ms\": "
      << static_cast<int>(grace_s_ * 1000) << ",\n \"frame_key\": "
      << "\"6272696172206c6561642066726f6e7420616e6420636f7265206672616d6573\"}"
      << "\n";
}

void Fleet::StartAll() {
  for (Process& it : controls_)
    Start(it);
  for (Process& it : gateways_)
    Start(it);
}

void Fleet::Start(Process& process) const {
  const char* program = std::getenv("BRIARLEAD");
  const std::string path =
      program == nullptr ? "../../target/bin/briarlead" : program;
  const int log = open(process.log.c_str(),
                       O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  process.pid = fork();
  if (process.pid == 0) {
    // Whatever ends the case ends its processes.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("BRIARLEAD_CONFIG", process.settings.c_str(), 1);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execl(path.c_str(), path.c_str(), process.role.c_str(), nullptr);
    _exit(127);
  }
  close(log);
}

void Fleet::Kill(Process& process) {
  if (process.pid <= 0)
    return;
  kill(process.pid, SIGCONT);
  kill(process.pid, SIGKILL);
  waitpid(std::exchange(process.pid, 0), nullptr, 0);
}

bool Fleet::HasEnded(Process& process, int& status) {
  if (process.pid <= 0 || waitpid(process.pid, &status, WNOHANG) <= 0)
    return process.pid <= 0;
  process.pid = 0;
  return true;
}

bool Fleet::Replace(const std::string& manifest) const {
  const std::string bytes =
      "POST /Config.Replace HTTP/1.1\r\nHost: control\r\nContent-Type: "
      "application/json\r\nContent-Length: " +
      std::to_string(manifest.size()) + "\r\nConnection: close\r\n\r\n" +
      manifest;
  for (int tries = 0; tries < 100; ++tries) {
    const Process& it =
        controls_.at(static_cast<std::size_t>(tries) % controls_.size());
    Message answer = Call(it.address, control_port(), bytes, 1000);
    if (answer.status() == 200)
      return true;
    SleepMs(150);
  }
  return false;
}

bool Fleet::WaitUntilReady() const {
  const std::string bytes =
      "GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
  for (int tries = 0; tries < 150; ++tries) {
    const bool all =
        std::all_of(gateways_.begin(), gateways_.end(), [&](const auto& it) {
          return Call(it.address, ready_port(), bytes, 500).status() == 200;
        });
    if (all)
      return true;
    SleepMs(100);
  }
  return false;
}

Listener::Listener(std::string address,
                   int port,
                   Handler handler,
                   int receive_buffer)
    : address_(std::move(address)),
      port_(port),
      handler_(std::move(handler)),
      receive_buffer_(receive_buffer) {
  Bind();
  thread_ = std::thread([this] { Run(); });
}

Listener::~Listener() {
  stops_ = true;
  thread_.join();
  Pause();
}

bool Listener::Bind() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (receive_buffer_ > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_,
               sizeof(receive_buffer_));
  }
  sockaddr_in at = AddressOf(address_, port_);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
      listen(fd, 256) != 0) {
    close(fd);
    return false;
  }
  socklen_t size = sizeof(at);
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  port_ = ntohs(at.sin_port);
  fd_ = fd;
  return true;
}

void Listener::Pause() {
  const std::lock_guard lock(mutex_);
  if (fd_ >= 0)
    close(std::exchange(fd_, -1));
}

void Listener::Resume() {
  const std::lock_guard lock(mutex_);
  if (fd_ < 0)
    Bind();
}

void Listener::Run() {
  while (!stops_) {
    int accepted = -1;
    {
      const std::lock_guard lock(mutex_);
      if (fd_ >= 0 && Waits(fd_, POLLIN, 1))
        accepted = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    }
    if (accepted < 0) {
      SleepMs(0.2);
      continue;
    }
    const int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::thread([handler = handler_, accepted] {
      handler(Socket(accepted));
    }).detach();
  }
}

Announcer::Announcer(const Fleet& fleet, std::vector<Announcement> servers)
    : servers_(std::move(servers)) {
  thread_ = std::thread([this, &fleet] { Run(fleet); });
}

Announcer::~Announcer() {
  stops_ = true;
  thread_.join();
}

void Announcer::Run(const Fleet& fleet) {
  const std::vector<std::string> controls = fleet.control_addresses();
  const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  for (unsigned sequence = 1; !stops_; ++sequence) {
    for (const Announcement& it : servers_) {
      const std::string body =
          "{\"Service\":\"" + it.service + "\",\"Address\":\"" + it.address +
          ":" + std::to_string(it.port) +
          "\",\"Zone\":\"here\",\"Version\":\"v1\",\"Slots\":" +
          std::to_string(it.slots) +
          ",\"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":" +
          std::to_string(sequence) + ",\"born\":" + std::to_string(born) + "}";
      const std::string bytes =
          "POST /Instances.Heartbeat/" + it.id +
          " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
          "Content-Length: " +
          std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
      for (const std::string& control : controls) {
        if (Call(control, fleet.control_port(), bytes, 1000).status() == 200)
          break;
      }
    }
    SleepMs(400);
  }
}

}  // namespace standin
