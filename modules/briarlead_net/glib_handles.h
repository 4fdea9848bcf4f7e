#ifndef BRIARLEAD_NET_GLIB_HANDLES_H_
#define BRIARLEAD_NET_GLIB_HANDLES_H_

#include <gio/gio.h>

#include <functional>
#include <memory>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/error.h"

namespace briarlead {

/// Deleter of a reference to a GObject.
struct ObjectUnref {
  void operator()(gpointer object) const { g_object_unref(object); }
};

/// Owns one reference to a GObject of type `T`.
template <typename T>
using ObjectPtr = std::unique_ptr<T, ObjectUnref>;

/// A GLib event source that calls a function until it is destroyed.
class SourceHandle {
 public:
  SourceHandle() = default;
  ~SourceHandle() { Reset(); }
  SourceHandle(const SourceHandle&) = delete;
  SourceHandle& operator=(const SourceHandle&) = delete;

  /// Calls `function` whenever `socket` meets `condition`; replaces the source
  /// that this handle had.
  void WatchSocket(GSocket* socket,
                   GIOCondition condition,
                   std::function<void()> function);

  /// Calls `function` once after `milliseconds`; replaces the source that this
  /// handle had.
  void StartTimer(guint milliseconds, std::function<void()> function);

  /// Ends the source; its function is not called again.
  void Reset();

  /// Returns true while a source is attached.
  [[nodiscard]] bool active() const { return source_ != nullptr; }

 private:
  /// Holds the function while GLib may call it.
  struct Closure {
    std::function<void()> function;
    bool repeat;
    SourceHandle* owner;
  };

  static gboolean Run(Closure* closure);
  void Attach(GSource* source, GSourceFunc run, Closure* closure);

  GSource* source_ = nullptr;
};

/// Opens a non-blocking socket bound to `endpoint`. Errors: kInvalidArgument
/// for an address that is no IP address, kUnavailable when it can't be bound.
Result<ObjectPtr<GSocket>> BindSocket(const Endpoint& endpoint,
                                      GSocketType type);

/// Returns the address that `socket` is bound to, with the port that was
/// picked for it.
Endpoint LocalEndpoint(GSocket* socket);

/// Returns the GIO address of `endpoint`; null when it is no IP address.
ObjectPtr<GSocketAddress> ToSocketAddress(const Endpoint& endpoint);

}  // namespace briarlead

#endif  // BRIARLEAD_NET_GLIB_HANDLES_H_
