// Prints the first of 40 ports that are free on each of the addresses.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

namespace {

constexpr int kFirst = 21000;
constexpr int kLast = 31000;
constexpr int kPorts = 40;

bool IsFree(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in it{};
  it.sin_family = AF_INET;
  it.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &it.sin_addr);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const bool free =
      bind(fd, reinterpret_cast<const sockaddr*>(&it), sizeof(it)) == 0;
  close(fd);
  return free;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> addresses(argv + 1, argv + argc);
  const int step = (kLast - kFirst) / kPorts;
  const int begin = static_cast<int>(getpid()) % step;
  for (int i = 0; i < step; ++i) {
    const int base = kFirst + (begin + i) % step * kPorts;
    bool free = true;
    for (const std::string& it : addresses) {
      for (int port = base; free && port < base + kPorts; ++port)
        free = IsFree(it, port);
    }
    if (free) {
      std::cout << base << std::endl;
      return 0;
    }
  }
  return 1;
}
