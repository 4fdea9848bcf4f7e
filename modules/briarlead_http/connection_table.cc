#include "briarlead_http/connection_table.h"

#include <algorithm>

namespace briarlead {

ConnectionTable::~ConnectionTable() {
  for (const auto& [object, socket] : sockets_)
    g_object_weak_unref(object, OnFinalized, this);
}

void ConnectionTable::Add(GSocketConnection* connection, TimePoint now) {
  GSocket* socket = g_socket_connection_get_socket(connection);
  connections_[socket] =
      Connection{.object = connection, .deadline = now + receive_timeout_};
  sockets_[G_OBJECT(connection)] = socket;
  g_object_weak_ref(G_OBJECT(connection), OnFinalized, this);
}

void ConnectionTable::OnFinalized(gpointer self, GObject* connection) {
  auto& table = *static_cast<ConnectionTable*>(self);
  const auto it = table.sockets_.find(connection);
  if (it == table.sockets_.end())
    return;
  table.connections_.erase(it->second);
  table.sockets_.erase(it);
}

void ConnectionTable::PruneClosed() {
  for (auto it = connections_.begin(); it != connections_.end();) {
    if (!g_socket_is_closed(it->first)) {
      ++it;
      continue;
    }
    GObject* object = G_OBJECT(it->second.object);
    g_object_weak_unref(object, OnFinalized, this);
    sockets_.erase(object);
    it = connections_.erase(it);
  }
}

std::size_t ConnectionTable::CountOpen() const {
  return static_cast<std::size_t>(std::count_if(
      connections_.begin(), connections_.end(),
      [](const auto& it) { return !g_socket_is_closed(it.first); }));
}

void ConnectionTable::SetReceived(GSocket* socket) {
  const auto it = connections_.find(socket);
  if (it != connections_.end())
    it->second.awaiting_request = false;
}

std::vector<GSocket*> ConnectionTable::TakeExpired(TimePoint now) {
  PruneClosed();
  std::vector<GSocket*> expired;
  for (auto& [socket, it] : connections_) {
    if (!it.awaiting_request || now < it.deadline)
      continue;
    it.awaiting_request = false;
    expired.push_back(socket);
  }
  return expired;
}

std::vector<GSocket*> ConnectionTable::sockets() const {
  std::vector<GSocket*> sockets;
  sockets.reserve(connections_.size());
  for (const auto& [socket, it] : connections_)
    sockets.push_back(socket);
  return sockets;
}

}  // namespace briarlead
