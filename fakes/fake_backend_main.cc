#include <fmt/core.h>
#include <glib-unix.h>

#include <csignal>
#include <cstdio>

#include "fakes/announcer.h"
#include "fakes/backend_options.h"
#include "fakes/fake_backend.h"
#include "fakes/loop_timer.h"

namespace briarlead {

namespace {

constexpr int kExitUsage = 2;
constexpr int kExitFailure = 1;
constexpr Duration kIdleCheckPeriod = std::chrono::milliseconds(20);

int Run(BackendOptions options) {
  auto recorder = RunRecorder::Open(options.record_file);
  if (!recorder) {
    fmt::print(stderr, "{}\n", recorder.error().message);
    return kExitFailure;
  }
  std::unique_ptr<FakeBackend> backend;
  auto server = HttpServer::Listen(
      options.listen, {}, [&backend](std::shared_ptr<HttpExchange> exchange) {
        backend->Handle(std::move(exchange));
      });
  if (!server) {
    fmt::print(stderr, "{}\n", server.error().message);
    return kExitFailure;
  }
  options.listen = server.value()->endpoint();
  backend = MakeFakeBackend(options, &recorder.value());
  Announcer announcer(options, *backend);
  fmt::print("listening on {}\n", ToString(options.listen));
  std::fflush(stdout);

  struct Context {
    HttpServer& server;
    FakeBackend& backend;
    Announcer& announcer;
    GMainLoop* loop;
    LoopTimer idle_check;
  } context{*server.value(),
            *backend,
            announcer,
            g_main_loop_new(nullptr, FALSE),
            {}};
  const GSourceFunc on_signal = [](gpointer data) {
    auto& it = *static_cast<Context*>(data);
    it.backend.Leave();
    it.announcer.Leave();
    it.idle_check.StartEvery(kIdleCheckPeriod, [&it] {
      if (it.server.active_exchanges() == 0 && it.backend.held().empty())
        g_main_loop_quit(it.loop);
    });
    return static_cast<gboolean>(G_SOURCE_CONTINUE);
  };
  g_unix_signal_add(SIGTERM, on_signal, &context);
  g_unix_signal_add(SIGINT, on_signal, &context);
  g_main_loop_run(context.loop);
  g_main_loop_unref(context.loop);
  return 0;
}

}  // namespace

}  // namespace briarlead

int main(int argc, char** argv) {
  auto options = briarlead::ParseBackendOptions(argc, argv);
  if (options)
    return briarlead::Run(std::move(options.value()));
  if (options.error().code == briarlead::ErrorCode::kNotFound) {
    fmt::print("{}\n", options.error().message);
    return 0;
  }
  fmt::print(stderr, "briarlead_fake_backend: {}\n", options.error().message);
  return briarlead::kExitUsage;
}
