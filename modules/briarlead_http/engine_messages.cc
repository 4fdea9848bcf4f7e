#include "briarlead_http/engine_messages.h"

#include <limits>
#include <nlohmann/json.hpp>

#include "briarlead_http/completion_writer.h"
#include "briarlead_http/json_access.h"

namespace briarlead {

namespace {

auto FailMember(std::string_view name, std::string_view expected) {
  return Fail(ErrorCode::kInvalidArgument,
              std::string(name) + ": expected " + std::string(expected));
}

Result<std::uint32_t> ReadCount(const nlohmann::json& json,
                                std::string_view member) {
  const std::uint64_t value = UnsignedMember(json, member).value_or(0);
  if (value > std::numeric_limits<std::uint32_t>::max())
    return FailMember(member, "a count");
  return static_cast<std::uint32_t>(value);
}

nlohmann::json ToJson(const EnginePrompt& input) {
  nlohmann::json json = nlohmann::json::parse(input.sampling, nullptr, false);
  if (!json.is_object())
    json = nlohmann::json::object();
  json["model"] = input.model;
  json["prompt"] = input.prompt;
  if (!input.delivered_text.empty())
    json["delivered_text"] = input.delivered_text;
  json["priority"] = input.priority;
  return json;
}

Result<EnginePrompt> ReadInput(const nlohmann::json& json) {
  const auto model = StringMember(json, "model");
  if (!model)
    return FailMember("model", "a string");
  const auto prompt = StringMember(json, "prompt");
  if (!prompt)
    return FailMember("prompt", "a string");
  EnginePrompt input{.model = *model, .prompt = *prompt};
  input.delivered_text = StringMember(json, "delivered_text").value_or("");
  BOOST_OUTCOME_TRY(input.priority, ReadCount(json, "priority"));
  return input;
}

}  // namespace

std::string WritePrefillRequest(const PrefillRequest& request) {
  nlohmann::json json = ToJson(request.input);
  json["max_tokens"] = 1;
  json["stream"] = false;
  json["kv_transfer_params"] = {{"do_remote_decode", true}};
  return DumpJson(json);
}

Result<PrefillRequest> ParsePrefillRequest(std::string_view body) {
  BOOST_OUTCOME_TRY(const nlohmann::json json, ParseJsonObject(body));
  BOOST_OUTCOME_TRY(EnginePrompt input, ReadInput(json));
  return PrefillRequest{std::move(input)};
}

std::string WritePrefillResult(const KvTransferParams& params) {
  return DumpJson(nlohmann::json{
      {"kv_transfer_params",
       {{"remote_engine_id", params.engine_id},
        {"remote_block_ids", nlohmann::json::array({params.handle})},
        {"remote_host", params.endpoint.address},
        {"remote_port", params.endpoint.port},
        {"kv_bytes", params.kv_bytes}}}});
}

Result<PrefillResult> ParsePrefillResult(std::string_view body) {
  BOOST_OUTCOME_TRY(const nlohmann::json json, ParseJsonObject(body));
  const nlohmann::json* params = FindMember(json, "kv_transfer_params");
  if (params == nullptr || !params->is_object())
    return FailMember("kv_transfer_params", "an object");
  return PrefillResult{DumpJson(*params),
                       UnsignedMember(*params, "kv_bytes").value_or(0)};
}

std::string WriteDecodeRequest(const DecodeRequest& request) {
  nlohmann::json json = ToJson(request.input);
  json["stream"] = true;
  json["max_tokens"] = request.max_tokens;
  json["resume_from"] = request.resume_from;
  json["kv_transfer_params"] =
      nlohmann::json::parse(request.kv_transfer_params, nullptr, false);
  return DumpJson(json);
}

Result<DecodeRequest> ParseDecodeRequest(std::string_view body) {
  BOOST_OUTCOME_TRY(const nlohmann::json json, ParseJsonObject(body));
  DecodeRequest request;
  BOOST_OUTCOME_TRY(request.input, ReadInput(json));
  BOOST_OUTCOME_TRY(request.max_tokens, ReadCount(json, "max_tokens"));
  BOOST_OUTCOME_TRY(request.resume_from, ReadCount(json, "resume_from"));
  const nlohmann::json* params = FindMember(json, "kv_transfer_params");
  if (params == nullptr || !params->is_object())
    return FailMember("kv_transfer_params", "an object");
  request.kv_transfer_params = DumpJson(*params);
  return request;
}

Result<KvTransferParams> ParseKvTransferParams(std::string_view text) {
  BOOST_OUTCOME_TRY(const nlohmann::json json, ParseJsonObject(text));
  KvTransferParams params;
  params.engine_id = StringMember(json, "remote_engine_id").value_or("");
  const nlohmann::json* blocks = FindMember(json, "remote_block_ids");
  if (blocks == nullptr || !blocks->is_array() || blocks->empty() ||
      !blocks->front().is_string()) {
    return FailMember("remote_block_ids", "an array of strings");
  }
  params.handle = blocks->front().get<std::string>();
  params.endpoint.address = StringMember(json, "remote_host").value_or("");
  const std::uint64_t port = UnsignedMember(json, "remote_port").value_or(0);
  if (port == 0 || port > std::numeric_limits<std::uint16_t>::max())
    return FailMember("remote_port", "a port number");
  params.endpoint.port = static_cast<std::uint16_t>(port);
  params.kv_bytes = UnsignedMember(json, "kv_bytes").value_or(0);
  return params;
}

std::string WriteDecodeEvent(const DecodeEvent& event) {
  if (event.done)
    return std::string(CompletionWriter::kDone);
  std::string out = "data: {\"choices\":[{\"index\":0,\"text\":";
  AppendJsonString(event.text, out);
  if (event.finish_reason) {
    out += ",\"finish_reason\":";
    AppendJsonString(*event.finish_reason, out);
  }
  out += "}],\"offset\":" + std::to_string(event.offset) + "}\n\n";
  return out;
}

}  // namespace briarlead
