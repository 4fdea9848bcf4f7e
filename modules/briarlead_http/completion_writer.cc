#include "briarlead_http/completion_writer.h"

#include <glib.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "briarlead_http/json_access.h"

namespace briarlead {

namespace {

constexpr std::string_view kChatChunkObject = "chat.completion.chunk";
constexpr std::string_view kTextObject = "text_completion";
constexpr std::string_view kChatObject = "chat.completion";

/// Returns whether `text` stands in a JSON string as it is.
bool IsPlain(std::string_view text) {
  const bool plain = std::all_of(text.begin(), text.end(), [](char c) {
    return static_cast<unsigned char>(c) >= 0x20 && c != '"' && c != '\\';
  });
  return plain && g_utf8_validate_len(text.data(), text.size(), nullptr) != 0;
}

std::string JsonString(std::string_view text) {
  std::string out;
  AppendJsonString(text, out);
  return out;
}

std::string UsageJson(const TokenUsage& usage) {
  return "{\"prompt_tokens\":" + std::to_string(usage.prompt_tokens) +
         ",\"completion_tokens\":" + std::to_string(usage.completion_tokens) +
         ",\"total_tokens\":" +
         std::to_string(usage.prompt_tokens + usage.completion_tokens) + "}";
}

}  // namespace

std::string_view ToString(FinishReason reason) {
  return reason == FinishReason::kStop ? "stop" : "length";
}

void AppendJsonString(std::string_view text, std::string& out) {
  if (!IsPlain(text)) {
    out += DumpJson(nlohmann::json(text));
    return;
  }
  out += '"';
  out += text;
  out += '"';
}

CompletionWriter::CompletionWriter(CompletionKind kind,
                                   std::string_view id,
                                   std::string_view model,
                                   std::int64_t created_unix_s)
    : kind_(kind),
      id_json_(JsonString(id)),
      model_json_(JsonString(model)),
      created_unix_s_(created_unix_s) {
  const bool chat = kind_ == CompletionKind::kChat;
  chunk_prefix_ = "data: " + Head(chat ? kChatChunkObject : kTextObject) +
                  ",\"choices\":[{\"index\":0," +
                  (chat ? "\"delta\":{\"content\":" : "\"text\":");
}

std::string CompletionWriter::Head(std::string_view object) const {
  return "{\"id\":" + id_json_ + ",\"object\":\"" + std::string(object) +
         "\",\"created\":" + std::to_string(created_unix_s_) +
         ",\"model\":" + model_json_;
}

std::string CompletionWriter::Chunk(std::string_view text) {
  std::string out;
  const bool chat = kind_ == CompletionKind::kChat;
  if (chat && std::exchange(first_, false)) {
    out = "data: " + Head(kChatChunkObject) +
          ",\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\","
          "\"content\":\"\"},\"finish_reason\":null}]}\n\n";
  }
  out += chunk_prefix_;
  AppendJsonString(text, out);
  out += chat ? "},\"finish_reason\":null}]}\n\n"
              : ",\"logprobs\":null,\"finish_reason\":null}]}\n\n";
  return out;
}

std::string CompletionWriter::Finish(FinishReason reason,
                                     const TokenUsage& usage,
                                     bool include_usage) const {
  const bool chat = kind_ == CompletionKind::kChat;
  const std::string head =
      "data: " + Head(chat ? kChatChunkObject : kTextObject);
  std::string out = head + ",\"choices\":[{\"index\":0," +
                    (chat ? "\"delta\":{}" : "\"text\":\"\"") +
                    ",\"finish_reason\":\"" + std::string(ToString(reason)) +
                    "\"}]}\n\n";
  if (include_usage)
    out += head + ",\"choices\":[],\"usage\":" + UsageJson(usage) + "}\n\n";
  out += kDone;
  return out;
}

std::string CompletionWriter::ErrorEvent(std::string_view message) {
  return "data: {\"error\":{\"message\":" + JsonString(message) + "}}\n\n";
}

std::string CompletionWriter::Whole(std::string_view text,
                                    FinishReason reason,
                                    const TokenUsage& usage) const {
  const bool chat = kind_ == CompletionKind::kChat;
  const std::string body =
      chat ? "\"message\":{\"role\":\"assistant\",\"content\":" +
                 JsonString(text) + "}"
           : "\"text\":" + JsonString(text) + ",\"logprobs\":null";
  return Head(chat ? kChatObject : kTextObject) +
         ",\"choices\":[{\"index\":0," + body + ",\"finish_reason\":\"" +
         std::string(ToString(reason)) + "\"}],\"usage\":" + UsageJson(usage) +
         "}";
}

}  // namespace briarlead
