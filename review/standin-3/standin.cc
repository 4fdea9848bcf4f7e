#include "standin.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <sstream>

namespace review {

namespace {

constexpr std::int64_t kBeatMs = 1200;
constexpr std::int64_t kCallMs = 1000;
constexpr std::int64_t kIdleMs = 60'000;
constexpr std::size_t kReadBytes = 65536;

std::mutex record_mutex;
std::ofstream record_file;
std::int64_t record_start = 0;

sockaddr_in ToSockAddr(const Address& address) {
  sockaddr_in it{};
  it.sin_family = AF_INET;
  it.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &it.sin_addr);
  return it;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string Text(const Address& address) {
  return address.ip + ":" + std::to_string(address.port);
}

std::vector<Address> ReadAddresses(const char* name) {
  std::vector<Address> addresses;
  const char* value = std::getenv(name);
  std::istringstream list(value == nullptr ? "" : value);
  for (std::string it; std::getline(list, it, ',');) {
    const std::size_t colon = it.rfind(':');
    addresses.push_back(
        {it.substr(0, colon),
         static_cast<std::uint16_t>(std::stoi(it.substr(colon + 1)))});
  }
  return addresses;
}

/// Reads the head in `text`, which ends with its empty line.
Message ReadHead(const std::string& text) {
  Message message;
  std::size_t at = text.find("\r\n");
  message.first_line = text.substr(0, at);
  at += 2;
  while (at < text.size()) {
    const std::size_t end = text.find("\r\n", at);
    const std::string line = text.substr(at, end - at);
    const std::size_t colon = line.find(':');
    if (line.empty() || colon == std::string::npos)
      break;
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.fields[Lower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
    at = end + 2;
  }
  return message;
}

}  // namespace

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void Record::Open(const std::string& path) {
  record_file.open(path, std::ios::trunc);
  record_start = NowMs();
}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(record_mutex);
  record_file << NowMs() - record_start << " ms  " << text << std::endl;
}

void Record::Say(const std::string& text) {
  Line(text);
  const std::lock_guard lock(record_mutex);
  std::cout << text << std::endl;
}

std::string Message::Field(const std::string& name) const {
  const auto found = fields.find(Lower(name));
  return found == fields.end() ? "" : found->second;
}

int Message::Status() const {
  return first_line.starts_with("HTTP/1.1 ") ? std::atoi(&first_line[9]) : 0;
}

Connection::~Connection() {
  Close();
}

bool Connection::Connect(const Address& to, int receive_buffer) {
  Close();
  buffer_.clear();
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  }
  const int on = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in address = ToSockAddr(to);
  if (connect(fd_, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0) {
    return true;
  }
  error_ = std::strerror(errno);
  Close();
  return false;
}

bool Connection::Send(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      error_ = std::strerror(errno);
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

std::optional<std::string> Connection::Read(std::size_t most,
                                            std::int64_t limit_ms) {
  pollfd it{fd_, POLLIN, 0};
  const int ready =
      poll(&it, 1, static_cast<int>(std::max<std::int64_t>(limit_ms, 0)));
  if (ready <= 0) {
    error_ = "no answer in time";
    return std::nullopt;
  }
  std::string bytes(most, '\0');
  const ssize_t n = recv(fd_, bytes.data(), most, 0);
  if (n < 0) {
    error_ = std::strerror(errno);
    return std::nullopt;
  }
  bytes.resize(static_cast<std::size_t>(n));
  if (n == 0)
    error_ = "closed";
  return bytes;
}

bool Connection::Fill(std::size_t n, std::int64_t until_ms) {
  while (buffer_.size() < n) {
    const auto bytes = Read(kReadBytes, until_ms - NowMs());
    if (!bytes.has_value() || bytes->empty())
      return false;
    buffer_ += *bytes;
  }
  return true;
}

bool Connection::ReadChunks(std::string& body, std::int64_t until_ms) {
  while (true) {
    std::size_t end = buffer_.find("\r\n");
    while (end == std::string::npos) {
      if (!Fill(buffer_.size() + 1, until_ms))
        return false;
      end = buffer_.find("\r\n");
    }
    const std::size_t size = std::stoul(buffer_.substr(0, end), nullptr, 16);
    if (!Fill(end + 2 + size + 2, until_ms))
      return false;
    body += buffer_.substr(end + 2, size);
    buffer_.erase(0, end + 2 + size + 2);
    if (size == 0)
      return true;
  }
}

std::optional<Message> Connection::ReadMessage(std::int64_t limit_ms,
                                               bool has_body) {
  const std::int64_t until = NowMs() + limit_ms;
  while (buffer_.find("\r\n\r\n") == std::string::npos) {
    if (!Fill(buffer_.size() + 1, until))
      return std::nullopt;
  }
  const std::size_t end = buffer_.find("\r\n\r\n") + 4;
  Message message = ReadHead(buffer_.substr(0, end));
  buffer_.erase(0, end);
  if (!has_body)
    return message;
  if (Lower(message.Field("Transfer-Encoding")) == "chunked") {
    if (!ReadChunks(message.body, until))
      return std::nullopt;
    return message;
  }
  const std::string length = message.Field("Content-Length");
  const std::size_t n = length.empty() ? 0 : std::stoul(length);
  if (!Fill(n, until))
    return std::nullopt;
  message.body = buffer_.substr(0, n);
  buffer_.erase(0, n);
  return message;
}

void Connection::Shut() const {
  if (fd_ >= 0)
    shutdown(fd_, SHUT_RDWR);
}

void Connection::Close() {
  if (fd_ >= 0)
    close(fd_);
  fd_ = -1;
}

std::optional<Message> ControlCaller::CallOne(Address to,
                                              const std::string& method,
                                              const std::string& path,
                                              const std::string& body) {
  for (int redirects = 0; redirects <= 2; ++redirects) {
    Connection connection;
    if (!connection.Connect(to))
      return std::nullopt;
    std::string call = method;
    call += " " + path;
    call += " HTTP/1.1\r\nHost: " + Text(to);
    call += "\r\nContent-Type: application/json\r\nContent-Length: ";
    call += std::to_string(body.size()) + "\r\n\r\n";
    call += body;
    connection.Send(call);
    std::optional<Message> answer = connection.ReadMessage(kCallMs);
    if (!answer.has_value() || answer->Status() != 307)
      return answer;
    const std::string location = answer->Field("Location");
    const std::size_t host = location.find("//") + 2;
    const std::size_t colon = location.find(':', host);
    to = {location.substr(host, colon - host),
          static_cast<std::uint16_t>(std::stoi(location.substr(colon + 1)))};
  }
  return std::nullopt;
}

std::optional<Message> ControlCaller::Call(const std::string& method,
                                           const std::string& path,
                                           const std::string& body,
                                           std::int64_t limit_ms) {
  const std::int64_t until = NowMs() + limit_ms;
  while (NowMs() < until) {
    const Address& to = control_[next_ % control_.size()];
    std::optional<Message> answer = CallOne(to, method, path, body);
    const int status = answer.has_value() ? answer->Status() : 0;
    if (status >= 200 && status < 500 && status != 408 && status != 429)
      return answer;
    ++next_;
    SleepMs(100);
  }
  return std::nullopt;
}

Runner::Runner(Options options, Handler handler)
    : options_(std::move(options)),
      handler_(std::move(handler)),
      born_ms_(static_cast<std::uint64_t>(UnixMs() + options_.clock_ahead_ms)) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = ToSockAddr(options_.address);
  if (bind(listener_, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listener_, 128) != 0) {
    Record::Say("runner " + options_.id + " can't listen on " +
                Text(options_.address));
    std::exit(kNotRun);
  }
  Record::Line("runner " + options_.id + " starts, born " +
               std::to_string(born_ms_));
  threads_.emplace_back([this] { Accept(); });
  threads_.emplace_back([this] {
    std::int64_t next = 0;
    while (up_) {
      if (NowMs() >= next) {
        Announce(kCallMs);
        next = NowMs() + kBeatMs;
      }
      SleepMs(20);
    }
  });
}

Runner::~Runner() {
  Crash();
}

bool Runner::Announce(std::int64_t limit_ms) {
  std::string body;
  {
    const std::lock_guard lock(mutex_);
    body = R"({"Service":")" + options_.service + R"(","Address":")" +
           Text(options_.address) + R"(","Zone":"here","Version":")" +
           options_.version + R"(","Slots":6,"State":")" +
           (draining_ ? "draining" : "ready") +
           R"(","ColdRemainingMs":0,"Sequence":)" +
           std::to_string(++sequence_) + R"(,"born":)" +
           std::to_string(born_ms_) + "}";
  }
  ControlCaller caller(options_.control);
  const auto answer = caller.Call("POST", "/Instances.Heartbeat/" + options_.id,
                                  body, limit_ms);
  return answer.has_value() && answer->Status() / 100 == 2;
}

std::int64_t Runner::Drain(std::int64_t limit_ms) {
  {
    const std::lock_guard lock(mutex_);
    draining_ = true;
  }
  const bool confirmed = Announce(limit_ms);
  Record::Line("runner " + options_.id + " says that it drains: " +
               (confirmed ? "confirmed" : "not confirmed"));
  return confirmed ? NowMs() : 0;
}

void Runner::Deregister() {
  ControlCaller caller(options_.control);
  caller.Call("POST", "/Instances.Deregister/" + options_.id,
              R"({"born":)" + std::to_string(born_ms_) + "}", kCallMs);
}

void Runner::Crash() {
  if (!up_.exchange(false))
    return;
  Record::Line("runner " + options_.id + " ends");
  shutdown(listener_, SHUT_RDWR);
  close(listener_);
  {
    const std::lock_guard lock(mutex_);
    for (const auto& it : connections_)
      it->Shut();
  }
  // Accept() adds none any more once it has been joined.
  threads_[0].join();
  for (std::size_t i = 1; i < threads_.size(); ++i)
    threads_[i].join();
}

std::vector<std::pair<std::int64_t, std::string>> Runner::Ran() {
  const std::lock_guard lock(mutex_);
  return ran_;
}

void Runner::Accept() {
  while (up_) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0)
      return;
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto connection = std::make_shared<Connection>(fd);
    const std::lock_guard lock(mutex_);
    connections_.push_back(connection);
    threads_.emplace_back([this, connection] { Serve(connection); });
  }
}

void Runner::Serve(const std::shared_ptr<Connection>& connection) {
  while (up_) {
    const std::optional<Message> request = connection->ReadMessage(kIdleMs);
    if (!request.has_value())
      break;
    const std::string id = request->Field("X-Briarlead-Request-Id");
    if (request->Field("X-Briarlead-Expect-Instance") != options_.id) {
      connection->Send(
          "HTTP/1.1 421 Misdirected\r\nX-Briarlead-Request-Id: " + id +
          "\r\nX-Briarlead-Not-Executed: 1\r\n"
          "Content-Length: 0\r\n\r\n");
      continue;
    }
    {
      const std::lock_guard lock(mutex_);
      ran_.emplace_back(NowMs(), id);
    }
    Record::Line("runner " + options_.id + " runs " + id);
    handler_(*request, *connection);
  }
  connection->Shut();
}

Fleet Fleet::FromEnvironment() {
  Fleet fleet;
  fleet.front = ReadAddresses("FRONT");
  fleet.ready = ReadAddresses("READY");
  fleet.control = ReadAddresses("CONTROL");
  const char* port = std::getenv("RUNNER_PORT");
  fleet.runner_port =
      static_cast<std::uint16_t>(port == nullptr ? 0 : std::atoi(port));
  const char* trouble = std::getenv("TROUBLE");
  fleet.has_trouble = trouble == nullptr || std::string(trouble) != "0";
  return fleet;
}

bool Fleet::WaitReady(std::int64_t limit_ms) const {
  const std::int64_t until = NowMs() + limit_ms;
  while (NowMs() < until) {
    const auto n =
        std::count_if(ready.begin(), ready.end(), [](const auto& it) {
          Connection connection;
          if (!connection.Connect(it))
            return false;
          connection.Send("GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
          const auto answer = connection.ReadMessage(kCallMs);
          return answer.has_value() && answer->Status() == 200;
        });
    if (static_cast<std::size_t>(n) == ready.size())
      return true;
    SleepMs(100);
  }
  return false;
}

std::string RequestHead(const std::string& method,
                        const std::string& path,
                        const std::string& id,
                        std::size_t body_bytes,
                        std::int64_t deadline_ms) {
  std::string head =
      method + " " + path +
      " HTTP/1.1\r\nHost: a.example\r\n"
      "X-Briarlead-Request-Id: " +
      id + "\r\nX-Briarlead-Deadline-Ms: " + std::to_string(deadline_ms) +
      "\r\n";
  if (method == "POST")
    head += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
  return head + "\r\n";
}

std::string AnswerHead(const Message& request,
                       std::optional<std::size_t> length) {
  std::string head = "HTTP/1.1 200 OK\r\nX-Briarlead-Request-Id: " +
                     request.Field("X-Briarlead-Request-Id") +
                     "\r\nX-Briarlead-Server-Stamp: review\r\n"
                     "Keep-Alive: timeout=10\r\n";
  if (length.has_value())
    head += "Content-Length: " + std::to_string(*length) + "\r\n";
  else
    head += "Transfer-Encoding: chunked\r\n";
  return head + "\r\n";
}

std::string PlainAnswer(const Message& request) {
  const std::string body = "ran " + request.Field("X-Briarlead-Request-Id");
  const bool is_head = request.first_line.starts_with("HEAD ");
  return AnswerHead(request, body.size()) + (is_head ? "" : body);
}

std::string Manifest(int version,
                     const std::string& routes,
                     std::size_t max_body_bytes) {
  return R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)" +
         routes +
         R"(],"Services":[{"Name":"desk","HealthPath":"/health",)"
         R"("MaxConns":110,"Protocol":"h1","Tls":false}],"Limits":)"
         R"({"MaxHeaderBytes":16384,"MaxBodyBytes":)" +
         std::to_string(max_body_bytes) +
         R"(,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

std::string PlainRoute(const std::string& prefix, const std::string& kind) {
  return R"({"Name":"r-)" + kind + R"(","Host":"a.example","PathPrefix":")" +
         prefix + R"(","Kind":")" + kind +
         R"(","TimeoutMs":5000,"TargetLatencyMs":100,"Priority":2,)"
         R"("Service":"desk","MaxAttempts":1,"Sticky":false,)"
         R"("Resumable":false})";
}

}  // namespace review
