#include "briarlead_net/datagram_socket.h"

#include <array>
#include <utility>

namespace briarlead {

namespace {

/// Datagrams read per iteration of the main loop. The limit keeps a flood of
/// datagrams from starving the loop's other event sources.
constexpr int kMaxDatagramsPerIteration = 64;

}  // namespace

Result<std::unique_ptr<DatagramSocket>> DatagramSocket::Bind(
    const Endpoint& endpoint,
    Handler handler) {
  BOOST_OUTCOME_TRY(ObjectPtr<GSocket> socket,
                    BindSocket(endpoint, G_SOCKET_TYPE_DATAGRAM));
  return std::unique_ptr<DatagramSocket>(
      new DatagramSocket(std::move(socket), std::move(handler)));
}

DatagramSocket::DatagramSocket(ObjectPtr<GSocket> socket, Handler handler)
    : socket_(std::move(socket)), handler_(std::move(handler)) {
  read_source_.WatchSocket(socket_.get(), G_IO_IN, [this] { ReadDatagrams(); });
}

void DatagramSocket::Send(const Endpoint& destination, std::string_view bytes) {
  if (bytes.size() > kMaxDatagramBytes)
    return;
  const ObjectPtr<GSocketAddress> address = ToSocketAddress(destination);
  if (!address)
    return;
  g_socket_send_to(socket_.get(), address.get(), bytes.data(), bytes.size(),
                   nullptr, nullptr);
}

void DatagramSocket::ReadDatagrams() {
  // One extra byte shows that a datagram exceeds the limit and was truncated.
  std::array<char, kMaxDatagramBytes + 1> buffer{};
  for (int i = 0; i < kMaxDatagramsPerIteration; ++i) {
    const gssize n = g_socket_receive(socket_.get(), buffer.data(),
                                      buffer.size(), nullptr, nullptr);
    if (n < 0)
      return;
    if (static_cast<std::size_t>(n) <= kMaxDatagramBytes)
      handler_(std::string_view(buffer.data(), static_cast<std::size_t>(n)));
  }
}

}  // namespace briarlead
