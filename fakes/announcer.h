#ifndef FAKES_ANNOUNCER_H_
#define FAKES_ANNOUNCER_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "briarlead_http/briarlead_http.h"
#include "fakes/backend_options.h"
#include "fakes/fake_backend.h"
#include "fakes/loop_timer.h"

namespace briarlead {

/// Tells the entry hosts of a fake backend server, twice a second.
class Announcer {
 public:
  Announcer(const BackendOptions& options, const FakeBackend& backend);

  /// Announces at once that this server leaves, and from then on.
  void Leave();

 private:
  void Announce();

  const BackendOptions& options_;
  const FakeBackend& backend_;
  std::uint64_t incarnation_;
  std::uint64_t sequence_ = 0;
  BackendServerState state_ = BackendServerState::kServing;
  HttpClient client_;
  std::vector<std::unique_ptr<HttpCall>> calls_;
  LoopTimer timer_;
};

}  // namespace briarlead

#endif  // FAKES_ANNOUNCER_H_
