#ifndef BRIARLEAD_HTTP_CONNECTION_TABLE_H_
#define BRIARLEAD_HTTP_CONNECTION_TABLE_H_

#include <gio/gio.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "briarlead_core/time.h"

namespace briarlead {

/// What a connection is doing.
enum class ConnectionPhase {
  kIdle,       ///< Open between two requests.
  kReceiving,  ///< A request is being received.
  kServing,    ///< A request is with the handler.
};

/// The open connections of a server and since when each is in its phase.
class ConnectionTable {
 public:
  ConnectionTable(Duration receive_timeout, Duration idle_timeout)
      : receive_timeout_(receive_timeout), idle_timeout_(idle_timeout) {}
  ConnectionTable(const ConnectionTable&) = delete;
  ConnectionTable& operator=(const ConnectionTable&) = delete;
  ~ConnectionTable();

  /// Follows `connection` until libsoup lets go of it.
  void Add(GSocketConnection* connection, TimePoint now);

  /// Notes that the connection of `socket` entered `phase`; staying in a phase
  /// doesn't renew its time.
  void SetPhase(GSocket* socket, ConnectionPhase phase, TimePoint now);

  /// A connection that has been in its phase for too long.
  struct Expired {
    GSocket* socket;
    ConnectionPhase phase;
  };

  /// Returns the connections whose time is over at `now`. Each is returned
  /// once.
  std::vector<Expired> TakeExpired(TimePoint now);

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
    ConnectionPhase phase = ConnectionPhase::kReceiving;
    TimePoint since;
    bool expired = false;
  };

  static void OnFinalized(gpointer self, GObject* connection);

  [[nodiscard]] bool IsExpired(const Connection& it, TimePoint now) const;

  Duration receive_timeout_;
  Duration idle_timeout_;
  std::unordered_map<GSocket*, Connection> connections_;
  std::unordered_map<GObject*, GSocket*> sockets_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_CONNECTION_TABLE_H_
