#ifndef FAKES_LOAD_OPTIONS_H_
#define FAKES_LOAD_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/error.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// What the command line of briarlead_load says.
struct LoadOptions {
  std::vector<Endpoint> targets;
  std::string key;
  std::string model;
  std::string service_path;
  Duration length{0};
  double rate = 0;                ///< Requests a second; 0: closed loop.
  std::uint32_t concurrency = 1;  ///< Of the closed loop.
  double service_share = 0;       ///< Share of calls to the plain service.
  double post_share = 0.5;        ///< Of service calls: not repeatable.
  double vanish = 0;              ///< Share of callers that go early.
  std::uint32_t min_tokens = 1;
  std::uint32_t max_tokens = 1;
  std::uint32_t prompt_words = 1;
  std::uint64_t seed = 0;
  bool direct = false;  ///< Targets are a prefill and a decode engine.
};

/// Reads the command line. Fails with a line for a person; `--help` fails with
/// kNotFound and the help text.
Result<LoadOptions> ParseLoadOptions(int argc, char** argv);

}  // namespace briarlead

#endif  // FAKES_LOAD_OPTIONS_H_
