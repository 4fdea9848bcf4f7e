#ifndef BRIARLEAD_HTTP_READY_TIME_SOURCE_H_
#define BRIARLEAD_HTTP_READY_TIME_SOURCE_H_

#include "briarlead_http/gobject_ptr.h"

namespace briarlead {

/// Attaches a source to the default main context that calls `callback` with
/// `data` when the time has come that g_source_set_ready_time() sets. It isn't
/// set at first.
GSourcePtr MakeReadyTimeSource(GSourceFunc callback, gpointer data);

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_READY_TIME_SOURCE_H_
