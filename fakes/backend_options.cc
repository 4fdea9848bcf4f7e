#include "fakes/backend_options.h"

#include <charconv>
#include <cxxopts.hpp>

namespace briarlead {

namespace {

cxxopts::Options MakeOptions() {
  cxxopts::Options options("briarlead_fake_backend",
                           "Plays one backend server for tests");
  auto add = options.add_options();
  add("role", "prefill, decode or service", cxxopts::value<std::string>());
  add("id", "name of this backend server", cxxopts::value<std::string>());
  add("data-centre", "its data centre", cxxopts::value<std::string>());
  add("model", "model that an engine serves",
      cxxopts::value<std::string>()->default_value("small"));
  add("service", "service that a runner serves",
      cxxopts::value<std::string>()->default_value("desk"));
  add("listen", "address:port; port 0 picks one",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
  add("announce", "entry hosts, address:port, separated by commas",
      cxxopts::value<std::vector<std::string>>()->default_value(""));
  add("key", "bearer key for announcing",
      cxxopts::value<std::string>()->default_value(""));
  add("slots", "requests run at once",
      cxxopts::value<std::uint32_t>()->default_value("8"));
  add("token-ms", "time between two tokens of a stream",
      cxxopts::value<double>()->default_value("20"));
  add("prefill-ms-per-1k-tokens", "time to read 1000 tokens",
      cxxopts::value<double>()->default_value("50"));
  add("kv-life-ms", "how long an unused KV result is kept",
      cxxopts::value<double>()->default_value("800"));
  add("kv-bytes-per-token", "size of a KV result",
      cxxopts::value<std::uint64_t>()->default_value("100000"));
  add("kv-capacity-bytes", "KV memory",
      cxxopts::value<std::uint64_t>()->default_value("40000000000"));
  add("link-bytes-per-second", "rate of the link out of this server",
      cxxopts::value<std::uint64_t>()->default_value("10000000000"));
  add("answer-ms", "time that a service takes to answer",
      cxxopts::value<double>()->default_value("5"));
  add("ignore-fencing", "take orders with old fencing numbers too");
  add("record", "file for one JSON line an event",
      cxxopts::value<std::string>()->default_value(""));
  add("help", "print this");
  return options;
}

Result<BackendServerRole> ParseRole(const std::string& text) {
  if (text == "prefill")
    return BackendServerRole::kPrefill;
  if (text == "decode")
    return BackendServerRole::kDecode;
  if (text == "service")
    return BackendServerRole::kService;
  return Fail(ErrorCode::kInvalidArgument,
              "--role: expected prefill, decode or service");
}

Duration Milliseconds(const cxxopts::ParseResult& parsed, const char* name) {
  return FromSeconds(parsed[name].as<double>() / 1e3);
}

Result<BackendOptions> Read(const cxxopts::ParseResult& parsed) {
  BackendOptions options;
  BOOST_OUTCOME_TRY(options.role, ParseRole(parsed["role"].as<std::string>()));
  options.id = parsed["id"].as<std::string>();
  options.data_centre = parsed["data-centre"].as<std::string>();
  const bool service = options.role == BackendServerRole::kService;
  options.name = parsed[service ? "service" : "model"].as<std::string>();
  BOOST_OUTCOME_TRY(options.listen,
                    ParseEndpoint(parsed["listen"].as<std::string>()));
  for (const std::string& it :
       parsed["announce"].as<std::vector<std::string>>()) {
    if (it.empty())
      continue;
    BOOST_OUTCOME_TRY(Endpoint endpoint, ParseEndpoint(it));
    options.announce_to.push_back(std::move(endpoint));
  }
  options.key = parsed["key"].as<std::string>();
  options.slots = parsed["slots"].as<std::uint32_t>();
  options.token_time = Milliseconds(parsed, "token-ms");
  options.prefill_time_per_1k_tokens =
      Milliseconds(parsed, "prefill-ms-per-1k-tokens");
  options.kv_life = Milliseconds(parsed, "kv-life-ms");
  options.answer_time = Milliseconds(parsed, "answer-ms");
  options.kv_bytes_per_token = parsed["kv-bytes-per-token"].as<std::uint64_t>();
  options.kv_capacity_bytes = parsed["kv-capacity-bytes"].as<std::uint64_t>();
  options.link_bytes_per_second =
      parsed["link-bytes-per-second"].as<std::uint64_t>();
  options.ignore_fencing = parsed.count("ignore-fencing") > 0;
  options.record_file = parsed["record"].as<std::string>();
  return options;
}

}  // namespace

Result<Endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  Endpoint endpoint;
  if (colon != std::string::npos) {
    const char* end = text.data() + text.size();
    const auto [stop, ec] =
        std::from_chars(text.data() + colon + 1, end, endpoint.port);
    if (ec == std::errc() && stop == end) {
      endpoint.address = text.substr(0, colon);
      return endpoint;
    }
  }
  return Fail(ErrorCode::kInvalidArgument,
              "\"" + text + "\": expected address:port");
}

Result<BackendOptions> ParseBackendOptions(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0)
      return Fail(ErrorCode::kNotFound, options.help());
    return Read(parsed);
  } catch (const std::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, error.what());
  }
}

}  // namespace briarlead
