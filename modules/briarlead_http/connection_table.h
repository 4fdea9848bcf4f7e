#ifndef BRIARLEAD_HTTP_CONNECTION_TABLE_H_
#define BRIARLEAD_HTTP_CONNECTION_TABLE_H_

#include <gio/gio.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "briarlead_core/time.h"

namespace briarlead {

/// The open connections of a server, and until when each must have brought its
/// request.
class ConnectionTable {
 public:
  explicit ConnectionTable(Duration receive_timeout)
      : receive_timeout_(receive_timeout) {}
  ConnectionTable(const ConnectionTable&) = delete;
  ConnectionTable& operator=(const ConnectionTable&) = delete;
  ~ConnectionTable();

  /// Follows `connection` until libsoup lets go of it.
  void Add(GSocketConnection* connection, TimePoint now);

  /// Notes that the whole request of `socket` is there.
  void SetReceived(GSocket* socket);

  /// Returns the sockets whose time to bring a request is over at `now`. Each
  /// is returned once.
  std::vector<GSocket*> TakeExpired(TimePoint now);

  /// Returns the sockets of all connections.
  [[nodiscard]] std::vector<GSocket*> sockets() const;

  /// Forgets the connections that have been closed.
  void PruneClosed();

  /// Returns how many connections there are, with those closed since the last
  /// PruneClosed().
  [[nodiscard]] std::size_t size() const { return connections_.size(); }

  /// Returns how many connections are open.
  [[nodiscard]] std::size_t CountOpen() const;

 private:
  struct Connection {
    GSocketConnection* object = nullptr;
    TimePoint deadline;
    bool awaiting_request = true;
  };

  static void OnFinalized(gpointer self, GObject* connection);

  Duration receive_timeout_;
  std::unordered_map<GSocket*, Connection> connections_;
  std::unordered_map<GObject*, GSocket*> sockets_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_CONNECTION_TABLE_H_
