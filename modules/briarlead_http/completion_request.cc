#include "briarlead_http/completion_request.h"

#include <limits>
#include <nlohmann/json.hpp>

#include "briarlead_http/json_access.h"

namespace briarlead {

namespace {

constexpr std::size_t kBytesPerToken = 4;
constexpr std::uint64_t kMaxMaxTokens = 1'000'000;
constexpr std::string_view kSamplingFields[] = {
    "temperature",       "top_p", "top_k",          "min_p",
    "frequency_penalty", "stop",  "seed",           "presence_penalty",
    "logit_bias",        "n",     "response_format"};

auto FailField(std::string_view field, std::string_view expected) {
  return Fail(ErrorCode::kInvalidArgument,
              std::string(field) + ": expected " + std::string(expected));
}

/// Returns whether the member is there and not null.
bool IsGiven(const nlohmann::json& json, std::string_view name) {
  const nlohmann::json* member = FindMember(json, name);
  return member != nullptr && !member->is_null();
}

Result<std::string> ReadPrompt(const nlohmann::json& json) {
  const nlohmann::json* prompt = FindMember(json, "prompt");
  if (prompt == nullptr)
    return FailField("prompt", "a string; it is missing");
  if (prompt->is_array() && prompt->size() == 1)
    prompt = &prompt->front();
  if (!prompt->is_string())
    return FailField("prompt", "a string");
  return prompt->get<std::string>();
}

/// Reads the content of one message: a string, or parts of type "text".
Result<std::string> ReadContent(const nlohmann::json& message,
                                const std::string& place) {
  const nlohmann::json* content = FindMember(message, "content");
  if (content == nullptr || content->is_null())
    return std::string();
  if (content->is_string())
    return content->get<std::string>();
  if (!content->is_array())
    return FailField(place + ".content", "a string or an array of text parts");
  std::string text;
  for (const nlohmann::json& part : *content) {
    const auto piece =
        part.is_object() ? StringMember(part, "text") : std::nullopt;
    if (!piece)
      return FailField(place + ".content", "parts with a \"text\" string");
    text += *piece;
  }
  return text;
}

Result<std::string> FlattenMessages(const nlohmann::json& json) {
  const nlohmann::json* messages = FindMember(json, "messages");
  if (messages == nullptr || !messages->is_array() || messages->empty())
    return FailField("messages", "an array of at least one message");
  std::string prompt;
  for (std::size_t i = 0; i < messages->size(); ++i) {
    const nlohmann::json& message = (*messages)[i];
    const std::string place = "messages[" + std::to_string(i) + "]";
    const auto role =
        message.is_object() ? StringMember(message, "role") : std::nullopt;
    if (!role)
      return FailField(place + ".role", "a string");
    BOOST_OUTCOME_TRY(const std::string content, ReadContent(message, place));
    prompt += *role + ": " + content + "\n";
  }
  return prompt + "assistant:";
}

Result<std::optional<std::uint32_t>> ReadMaxTokens(const nlohmann::json& json,
                                                   std::string_view field) {
  if (!IsGiven(json, field))
    return std::nullopt;
  const auto value = UnsignedMember(json, field);
  if (!value || *value == 0 || *value > kMaxMaxTokens)
    return FailField(field, "a whole number from 1 to 1000000");
  return static_cast<std::uint32_t>(*value);
}

Result<bool> ReadBool(const nlohmann::json& json, std::string_view field) {
  if (!IsGiven(json, field))
    return false;
  const auto value = BoolMember(json, field);
  if (!value)
    return FailField(field, "true or false");
  return *value;
}

bool ReadIncludeUsage(const nlohmann::json& json) {
  const nlohmann::json* options = FindMember(json, "stream_options");
  return options != nullptr && options->is_object() &&
         BoolMember(*options, "include_usage").value_or(false);
}

Result<std::string> ReadSampling(const nlohmann::json& json) {
  if (IsGiven(json, "n") && UnsignedMember(json, "n") != 1U)
    return FailField("n", "1");
  nlohmann::json sampling = nlohmann::json::object();
  for (const std::string_view field : kSamplingFields) {
    if (field != "n" && IsGiven(json, field))
      sampling[std::string(field)] = *FindMember(json, field);
  }
  return DumpJson(sampling);
}

}  // namespace

Result<CompletionRequest> ParseCompletionRequest(std::string_view body,
                                                 CompletionKind kind) {
  BOOST_OUTCOME_TRY(const nlohmann::json json, ParseJsonObject(body));
  CompletionRequest request;
  request.kind = kind;
  const auto model = StringMember(json, "model");
  if (!model || model->empty())
    return FailField("model", "the name of a model");
  request.model = ModelId(*model);
  const bool chat = kind == CompletionKind::kChat;
  BOOST_OUTCOME_TRY(request.prompt,
                    chat ? FlattenMessages(json) : ReadPrompt(json));
  BOOST_OUTCOME_TRY(request.max_tokens, ReadMaxTokens(json, "max_tokens"));
  if (chat && IsGiven(json, "max_completion_tokens")) {
    BOOST_OUTCOME_TRY(request.max_tokens,
                      ReadMaxTokens(json, "max_completion_tokens"));
  }
  BOOST_OUTCOME_TRY(request.stream, ReadBool(json, "stream"));
  request.include_usage = ReadIncludeUsage(json);
  request.user = StringMember(json, "user").value_or("");
  BOOST_OUTCOME_TRY(request.sampling, ReadSampling(json));
  return request;
}

std::uint32_t EstimateTokenCount(std::string_view text) {
  const std::size_t tokens =
      (text.size() + kBytesPerToken - 1) / kBytesPerToken;
  if (tokens == 0)
    return 1;
  constexpr std::size_t limit = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(tokens < limit ? tokens : limit);
}

}  // namespace briarlead
