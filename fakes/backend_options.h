#ifndef FAKES_BACKEND_OPTIONS_H_
#define FAKES_BACKEND_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "briarlead_blackboard/backend_server_record.h"
#include "briarlead_core/error.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// What the command line of briarlead_fake_backend says.
struct BackendOptions {
  BackendServerRole role = BackendServerRole::kService;
  std::string id;
  std::string data_centre;
  std::string name;  ///< Of the model or the service.
  Endpoint listen;
  std::vector<Endpoint> announce_to;
  std::string key;
  std::uint32_t slots = 8;
  Duration token_time{0};
  Duration prefill_time_per_1k_tokens{0};
  Duration kv_life{0};
  Duration answer_time{0};
  std::uint64_t kv_bytes_per_token = 0;
  std::uint64_t kv_capacity_bytes = 0;
  std::uint64_t link_bytes_per_second = 0;
  bool ignore_fencing = false;
  std::string record_file;
};

/// Reads the command line. Fails with a line for a person; `--help` fails with
/// kNotFound and the help text.
Result<BackendOptions> ParseBackendOptions(int argc, char** argv);

/// Reads "address:port". Fails with kInvalidArgument.
Result<Endpoint> ParseEndpoint(const std::string& text);

}  // namespace briarlead

#endif  // FAKES_BACKEND_OPTIONS_H_
