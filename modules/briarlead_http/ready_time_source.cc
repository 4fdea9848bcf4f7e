#include "briarlead_http/ready_time_source.h"

namespace briarlead {

namespace {

GSourceFuncs* ReadyTimeFunctions() {
  static GSourceFuncs functions = {
      .prepare = nullptr,
      .check = nullptr,
      .dispatch = [](GSource*, GSourceFunc callback,
                     gpointer data) { return callback(data); },
      .finalize = nullptr,
  };
  return &functions;
}

}  // namespace

GSourcePtr MakeReadyTimeSource(GSourceFunc callback, gpointer data) {
  GSourcePtr source(g_source_new(ReadyTimeFunctions(), sizeof(GSource)));
  g_source_set_callback(source.get(), callback, data, nullptr);
  g_source_attach(source.get(), nullptr);
  return source;
}

}  // namespace briarlead
