#ifndef BRIARLEAD_HTTP_GOBJECT_PTR_H_
#define BRIARLEAD_HTTP_GOBJECT_PTR_H_

#include <glib-object.h>

#include <memory>

namespace briarlead {

struct GObjectUnref {
  void operator()(gpointer object) const { g_object_unref(object); }
};

/// Holds one reference to a GObject.
template <typename T>
using GObjectPtr = std::unique_ptr<T, GObjectUnref>;

/// Takes a further reference to `object`.
template <typename T>
GObjectPtr<T> RefGObject(T* object) {
  return GObjectPtr<T>(static_cast<T*>(g_object_ref(object)));
}

struct GErrorFree {
  void operator()(GError* error) const { g_error_free(error); }
};
using GErrorPtr = std::unique_ptr<GError, GErrorFree>;

struct GBytesUnref {
  void operator()(GBytes* bytes) const { g_bytes_unref(bytes); }
};
using GBytesPtr = std::unique_ptr<GBytes, GBytesUnref>;

struct GSourceDestroy {
  void operator()(GSource* source) const {
    g_source_destroy(source);
    g_source_unref(source);
  }
};
/// Holds a source; letting go of it takes it off its main context.
using GSourcePtr = std::unique_ptr<GSource, GSourceDestroy>;

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_GOBJECT_PTR_H_
