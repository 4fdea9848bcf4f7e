#include "briarlead_http/message_socket.h"

namespace briarlead {

namespace {

GQuark SocketQuark() {
  return g_quark_from_static_string("briarlead-socket");
}

}  // namespace

GObjectPtr<GSocketAddress> MakeRemoteAddress(GSocket* socket) {
  const GObjectPtr<GSocketAddress> known(
      g_socket_get_remote_address(socket, nullptr));
  if (!known)
    return nullptr;
  // A copy: the socket refers to the object that it gave.
  GInetSocketAddress* address = G_INET_SOCKET_ADDRESS(known.get());
  GObjectPtr<GSocketAddress> copy(
      g_inet_socket_address_new(g_inet_socket_address_get_address(address),
                                g_inet_socket_address_get_port(address)));
  g_object_set_qdata_full(G_OBJECT(copy.get()), SocketQuark(),
                          g_object_ref(socket), g_object_unref);
  return copy;
}

GSocket* SocketOfMessage(SoupServerMessage* message) {
  GSocketAddress* remote = soup_server_message_get_remote_address(message);
  if (remote == nullptr)
    return nullptr;
  return static_cast<GSocket*>(
      g_object_get_qdata(G_OBJECT(remote), SocketQuark()));
}

}  // namespace briarlead
