#include "briarlead_http/message_socket.h"

namespace briarlead {

namespace {

GQuark SocketQuark() {
  return g_quark_from_static_string("briarlead-socket");
}

}  // namespace

void SetSocketOfAddress(GSocketAddress* remote, GSocket* socket) {
  g_object_set_qdata_full(G_OBJECT(remote), SocketQuark(), g_object_ref(socket),
                          g_object_unref);
}

GSocket* SocketOfMessage(SoupServerMessage* message) {
  GSocketAddress* remote = soup_server_message_get_remote_address(message);
  if (remote == nullptr)
    return nullptr;
  return static_cast<GSocket*>(
      g_object_get_qdata(G_OBJECT(remote), SocketQuark()));
}

}  // namespace briarlead
