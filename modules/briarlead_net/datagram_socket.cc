#include "briarlead_net/datagram_socket.h"

#include <array>
#include <utility>

namespace briarlead {

namespace {

/// Datagrams read in one turn of the loop, so that a flood of them leaves the
/// other sources their turns.
constexpr int kMaxDatagramsPerTurn = 64;

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
  readable_.WatchSocket(socket_.get(), G_IO_IN, [this] { ReadAll(); });
}

void DatagramSocket::Send(const Endpoint& to, std::string_view bytes) {
  if (bytes.size() > kMaxDatagramBytes)
    return;
  const ObjectPtr<GSocketAddress> address = ToSocketAddress(to);
  if (!address)
    return;
  g_socket_send_to(socket_.get(), address.get(), bytes.data(), bytes.size(),
                   nullptr, nullptr);
}

void DatagramSocket::ReadAll() {
  std::array<char, kMaxDatagramBytes + 1> buf{};
  for (int it = 0; it < kMaxDatagramsPerTurn; ++it) {
    const gssize n = g_socket_receive(socket_.get(), buf.data(), buf.size(),
                                      nullptr, nullptr);
    if (n < 0)
      return;
    if (static_cast<std::size_t>(n) <= kMaxDatagramBytes)
      handler_(std::string_view(buf.data(), static_cast<std::size_t>(n)));
  }
}

}  // namespace briarlead
