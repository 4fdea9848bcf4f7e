#ifndef BRIARLEAD_NET_GLIB_HANDLES_H_
#define BRIARLEAD_NET_GLIB_HANDLES_H_

#include <gio/gio.h>

#include <functional>
#include <memory>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/error.h"

namespace briarlead {

/// Deleter that releases one reference to a GObject.
struct ObjectUnref {
  void operator()(gpointer object) const { g_object_unref(object); }
};

/// Owns one reference to a GObject of type `T`.
template <typename T>
using ObjectPtr = std::unique_ptr<T, ObjectUnref>;

/// Owns a GLib event source on the default main context that calls back until
/// Reset() or the handle's destruction. One handle holds at most one source.
class SourceHandle {
 public:
  SourceHandle() = default;
  ~SourceHandle() { Reset(); }
  SourceHandle(const SourceHandle&) = delete;
  SourceHandle& operator=(const SourceHandle&) = delete;

  /// Calls `callback` in each loop iteration in which `socket` meets
  /// `condition` (level-triggered). Replaces the present source, if any.
  void WatchSocket(GSocket* socket,
                   GIOCondition condition,
                   std::function<void()> callback);

  /// Calls `callback` once after `milliseconds`. Replaces the present source,
  /// if any.
  void StartTimer(guint milliseconds, std::function<void()> callback);

  /// Destroys the source, if any. Its callback is not called again.
  void Reset();

  /// Returns whether a source is attached.
  [[nodiscard]] bool active() const { return source_ != nullptr; }

 private:
  /// User data of a source. GLib deletes it along with the source.
  struct Closure {
    std::function<void()> callback;
    bool repeat;
    SourceHandle* owner;
  };

  static gboolean Run(Closure* closure);
  void Attach(GSource* source, GSourceFunc run, Closure* closure);

  GSource* source_ = nullptr;
};

/// Opens a non-blocking socket and binds it to `endpoint`. Errors:
/// kInvalidArgument if the address is not an IP address, kIo if no socket can
/// be created, kUnavailable if the endpoint can't be bound.
Result<ObjectPtr<GSocket>> BindSocket(const Endpoint& endpoint,
                                      GSocketType type);

/// Returns the address and port that `socket` is bound to; if it was bound to
/// port 0, this is the port that the kernel assigned. Returns an empty endpoint
/// if the address can't be read.
Endpoint LocalEndpoint(GSocket* socket);
/// As LocalEndpoint(), for the other end of the connection.
Endpoint RemoteEndpoint(GSocket* socket);

/// Converts `endpoint` to a GIO socket address. Returns null if its address is
/// not an IP address.
ObjectPtr<GSocketAddress> ToSocketAddress(const Endpoint& endpoint);

}  // namespace briarlead

#endif  // BRIARLEAD_NET_GLIB_HANDLES_H_
