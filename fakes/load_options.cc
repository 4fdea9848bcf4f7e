#include "fakes/load_options.h"

#include <cxxopts.hpp>

#include "fakes/backend_options.h"

namespace briarlead {

namespace {

cxxopts::Options MakeOptions() {
  cxxopts::Options options("briarlead_load", "Plays many callers for tests");
  auto add = options.add_options();
  add("target", "entry hosts, address:port, separated by commas",
      cxxopts::value<std::vector<std::string>>());
  add("key", "bearer key", cxxopts::value<std::string>()->default_value(""));
  add("model", "model to ask",
      cxxopts::value<std::string>()->default_value("summary"));
  add("service-path", "path of the plain service",
      cxxopts::value<std::string>()->default_value("/visit-desk"));
  add("seconds", "how long calls are started",
      cxxopts::value<double>()->default_value("5"));
  add("rate", "calls started a second; 0 keeps --concurrency going",
      cxxopts::value<double>()->default_value("0"));
  add("concurrency", "calls in progress when --rate is 0",
      cxxopts::value<std::uint32_t>()->default_value("8"));
  add("mode", "completions, service, reads or mixed",
      cxxopts::value<std::string>()->default_value("completions"));
  add("vanish", "share of callers that go early",
      cxxopts::value<double>()->default_value("0"));
  add("min-tokens", "shortest answer asked for",
      cxxopts::value<std::uint32_t>()->default_value("4"));
  add("max-tokens", "longest answer asked for",
      cxxopts::value<std::uint32_t>()->default_value("64"));
  add("prompt-words", "longest prompt",
      cxxopts::value<std::uint32_t>()->default_value("200"));
  add("seed", "of the random numbers",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("direct", "--target is a prefill and a decode engine, or a runner");
  add("help", "print this");
  return options;
}

Result<double> ServiceShare(const std::string& mode) {
  if (mode == "completions")
    return 0.0;
  if (mode == "service" || mode == "reads")
    return 1.0;
  if (mode == "mixed")
    return 0.5;
  return Fail(ErrorCode::kInvalidArgument,
              "--mode: expected completions, service, reads or mixed");
}

Result<LoadOptions> Read(const cxxopts::ParseResult& parsed) {
  LoadOptions options;
  for (const std::string& it :
       parsed["target"].as<std::vector<std::string>>()) {
    BOOST_OUTCOME_TRY(Endpoint endpoint, ParseEndpoint(it));
    options.targets.push_back(std::move(endpoint));
  }
  BOOST_OUTCOME_TRY(options.service_share,
                    ServiceShare(parsed["mode"].as<std::string>()));
  if (parsed["mode"].as<std::string>() == "reads")
    options.post_share = 0;
  options.direct = parsed.count("direct") > 0;
  const bool two = options.direct && options.service_share < 1;
  if (options.targets.size() < (two ? 2 : 1)) {
    return Fail(ErrorCode::kInvalidArgument,
                "--target: expected a prefill and a decode engine");
  }
  options.key = parsed["key"].as<std::string>();
  options.model = parsed["model"].as<std::string>();
  options.service_path = parsed["service-path"].as<std::string>();
  options.length = FromSeconds(parsed["seconds"].as<double>());
  options.rate = parsed["rate"].as<double>();
  options.concurrency = parsed["concurrency"].as<std::uint32_t>();
  options.vanish = parsed["vanish"].as<double>();
  options.min_tokens = parsed["min-tokens"].as<std::uint32_t>();
  options.max_tokens = parsed["max-tokens"].as<std::uint32_t>();
  options.prompt_words = parsed["prompt-words"].as<std::uint32_t>();
  options.seed = parsed["seed"].as<std::uint64_t>();
  if (options.min_tokens == 0 || options.min_tokens > options.max_tokens) {
    return Fail(ErrorCode::kInvalidArgument,
                "--min-tokens: expected 1 to --max-tokens");
  }
  return options;
}

}  // namespace

Result<LoadOptions> ParseLoadOptions(int argc, char** argv) {
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
