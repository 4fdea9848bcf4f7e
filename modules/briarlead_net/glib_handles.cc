#include "briarlead_net/glib_handles.h"

#include <utility>

namespace briarlead {

namespace {

/// Owns the GError that a GIO call may set through out().
class ScopedGError {
 public:
  ScopedGError() = default;
  ~ScopedGError() { g_clear_error(&error_); }
  ScopedGError(const ScopedGError&) = delete;
  ScopedGError& operator=(const ScopedGError&) = delete;

  GError** out() { return &error_; }
  [[nodiscard]] std::string message() const {
    return error_ == nullptr ? "unknown" : error_->message;
  }

 private:
  GError* error_ = nullptr;
};

/// Returns an empty endpoint for a null address.
Endpoint ToEndpoint(const ObjectPtr<GSocketAddress>& address) {
  if (!address)
    return {};
  GInetSocketAddress* inet = G_INET_SOCKET_ADDRESS(address.get());
  gchar* text =
      g_inet_address_to_string(g_inet_socket_address_get_address(inet));
  Endpoint endpoint{text, g_inet_socket_address_get_port(inet)};
  g_free(text);
  return endpoint;
}

}  // namespace

gboolean SourceHandle::Run(Closure* closure) {
  if (closure->repeat) {
    closure->callback();
    return G_SOURCE_CONTINUE;
  }
  // The callback may attach a new source to this handle, so the expired one is
  // released before the call.
  const std::function<void()> callback = std::move(closure->callback);
  closure->owner->Reset();
  callback();
  return G_SOURCE_REMOVE;
}

void SourceHandle::Attach(GSource* source, GSourceFunc run, Closure* closure) {
  Reset();
  source_ = source;
  g_source_set_callback(source_, run, closure, [](gpointer data) {
    delete static_cast<Closure*>(data);
  });
  g_source_attach(source_, nullptr);
}

void SourceHandle::WatchSocket(GSocket* socket,
                               GIOCondition condition,
                               std::function<void()> callback) {
  const GSocketSourceFunc run = [](GSocket*, GIOCondition, gpointer data) {
    return Run(static_cast<Closure*>(data));
  };
  Attach(g_socket_create_source(socket, condition, nullptr), G_SOURCE_FUNC(run),
         new Closure{std::move(callback), true, this});
}

void SourceHandle::StartTimer(guint milliseconds,
                              std::function<void()> callback) {
  const GSourceFunc run = [](gpointer data) {
    return Run(static_cast<Closure*>(data));
  };
  Attach(g_timeout_source_new(milliseconds), run,
         new Closure{std::move(callback), false, this});
}

void SourceHandle::Reset() {
  if (source_ == nullptr)
    return;
  GSource* source = std::exchange(source_, nullptr);
  g_source_destroy(source);
  g_source_unref(source);
}

ObjectPtr<GSocketAddress> ToSocketAddress(const Endpoint& endpoint) {
  return ObjectPtr<GSocketAddress>(g_inet_socket_address_new_from_string(
      endpoint.address.c_str(), endpoint.port));
}

Endpoint LocalEndpoint(GSocket* socket) {
  return ToEndpoint(
      ObjectPtr<GSocketAddress>(g_socket_get_local_address(socket, nullptr)));
}

Endpoint RemoteEndpoint(GSocket* socket) {
  return ToEndpoint(
      ObjectPtr<GSocketAddress>(g_socket_get_remote_address(socket, nullptr)));
}

Result<ObjectPtr<GSocket>> BindSocket(const Endpoint& endpoint,
                                      GSocketType type) {
  const ObjectPtr<GSocketAddress> address = ToSocketAddress(endpoint);
  if (!address) {
    return Fail(ErrorCode::kInvalidArgument,
                ToString(endpoint) + " is not an IP address and port");
  }
  ScopedGError error;
  ObjectPtr<GSocket> socket(
      g_socket_new(g_socket_address_get_family(address.get()), type,
                   G_SOCKET_PROTOCOL_DEFAULT, error.out()));
  if (!socket)
    return Fail(ErrorCode::kIo, error.message());
  g_socket_set_blocking(socket.get(), FALSE);
  const gboolean reuse = type == G_SOCKET_TYPE_STREAM ? TRUE : FALSE;
  if (g_socket_bind(socket.get(), address.get(), reuse, error.out()) == FALSE) {
    return Fail(
        ErrorCode::kUnavailable,
        "can't listen on " + ToString(endpoint) + ": " + error.message());
  }
  return socket;
}

}  // namespace briarlead
