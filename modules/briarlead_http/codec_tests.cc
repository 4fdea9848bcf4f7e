#include <string>
#include <vector>

#include "briarlead_core/random_source.h"
#include "briarlead_http/briarlead_http.h"

// After the standard headers: it redefines operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {

namespace {

constexpr int kMutationRounds = 3000;

/// Changes, removes or repeats a few bytes.
std::string Mutate(std::string text, RandomSource& random) {
  const std::uint64_t changes = 1 + random.Below(5);
  for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
    const std::size_t at = random.Below(text.size());
    switch (random.Below(3)) {
      case 0:
        text[at] = static_cast<char>(random.Below(256));
        break;
      case 1:
        text.erase(at, 1 + random.Below(8));
        break;
      default:
        text.insert(at, text.substr(at, random.Below(16)));
        break;
    }
  }
  return text;
}

/// Feeds `text` in random parts and returns the events' data, joined by "|".
std::string ReadEvents(std::string_view text, RandomSource& random) {
  SseParser parser;
  std::string events;
  while (!text.empty()) {
    const std::size_t n = 1 + random.Below(text.size());
    CHECK_TRUE(parser
                   .Feed(text.substr(0, n),
                         [&events](const SseEvent& it) {
                           events += std::string(it.name) + "=" +
                                     std::string(it.data) + "|";
                         })
                   .has_value());
    text.remove_prefix(n);
  }
  return events;
}

std::string MessageOf(std::string_view body, CompletionKind kind) {
  const auto request = ParseCompletionRequest(body, kind);
  return request ? "" : request.error().message;
}

Announcement SampleAnnouncement() {
  Announcement it;
  it.record.id = BackendServerId("d1");
  it.record.data_centre = DataCentreId("howrah");
  it.record.role = BackendServerRole::kDecode;
  it.record.model = ModelId("summary");
  it.record.address = {"10.0.0.1", 8000};
  it.record.incarnation = 1'796'330'505'023'500;
  it.record.state = BackendServerState::kLeaving;
  it.record.slots = 8;
  it.record.link_bytes_per_second = 1'000'000'000;
  it.record.checks_fencing = true;
  it.record.load = {.running = 3, .waiting = 2, .kv_used_bytes = 70};
  it.sequence = 6;
  it.held = {{{HostId("e.1"), 4, 5}, 2}};
  return it;
}

}  // namespace

TEST_GROUP(SseParser){};

TEST(SseParser, ReadsEventsHoweverTheyAreCut) {
  const std::string text =
      "data: a\n\n: comment\r\nevent: x\r\ndata: b\r\ndata:c\r\n\r\n"
      "id: 7\n\ndata:  two\r\rdata\n\n";
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    RandomSource random(seed);
    STRCMP_EQUAL("=a|x=b\nc|= two|=|", ReadEvents(text, random).c_str());
  }
}

TEST(SseParser, BoundsAnEvent) {
  SseParser parser(10);
  int events = 0;
  const auto count = [&events](const SseEvent&) { ++events; };
  CHECK_TRUE(parser.Feed("data: 123\n\ndata: 456\n\n", count).has_value());
  CHECK_TRUE(parser.at_event_boundary());
  CHECK_TRUE(parser.Feed("data: 789", count).has_value());
  CHECK_FALSE(parser.at_event_boundary());
  CHECK_FALSE(parser.Feed("00", count).has_value());
  CHECK_FALSE(parser.Feed("\n\n", count).has_value());
  LONGS_EQUAL(2, events);
}

TEST_GROUP(CompletionRequest){};

TEST(CompletionRequest, ReadsBothKinds) {
  const auto text = ParseCompletionRequest(
      R"({"model":"m","prompt":["hi"],"max_tokens":5,"stream":true,
          "stream_options":{"include_usage":true},"user":"u","top_p":0.5,
          "unknown":[1]})",
      CompletionKind::kCompletions);
  CHECK_TRUE(text.has_value());
  STRCMP_EQUAL("hi", text.value().prompt.c_str());
  CHECK_TRUE(text.value().max_tokens == 5U);
  CHECK_TRUE(text.value().stream && text.value().include_usage);
  STRCMP_EQUAL(R"({"top_p":0.5})", text.value().sampling.c_str());
  const auto chat = ParseCompletionRequest(
      R"({"model":"m","max_tokens":null,"max_completion_tokens":7,"messages":[
          {"role":"system","content":"be brief"},
          {"role":"user","content":[{"type":"text","text":"hi"}]}]})",
      CompletionKind::kChat);
  CHECK_TRUE(chat.has_value());
  STRCMP_EQUAL("system: be brief\nuser: hi\nassistant:",
               chat.value().prompt.c_str());
  CHECK_TRUE(chat.value().max_tokens == 7U);
  CHECK_FALSE(chat.value().stream);
}

TEST(CompletionRequest, NamesTheFieldThatIsWrong) {
  const struct {
    const char* body;
    const char* field;
  } cases[] = {
      {R"({"prompt":"a"})", "model"},
      {R"({"model":"m"})", "prompt"},
      {R"({"model":"m","prompt":["a","b"]})", "prompt"},
      {R"({"model":"m","prompt":"a","max_tokens":0})", "max_tokens"},
      {R"({"model":"m","prompt":"a","max_tokens":-1})", "max_tokens"},
      {R"({"model":"m","prompt":"a","stream":"yes"})", "stream"},
      {R"({"model":"m","prompt":"a","n":2})", "n:"},
      {R"([])", "object"},
      {R"({)", "JSON"},
  };
  for (const auto& it : cases) {
    STRCMP_CONTAINS(it.field,
                    MessageOf(it.body, CompletionKind::kCompletions).c_str());
  }
  STRCMP_CONTAINS("messages[1].role",
                  MessageOf(R"({"model":"m","messages":[{"role":"user",
                      "content":"a"},{"content":"b"}]})",
                            CompletionKind::kChat)
                      .c_str());
}

TEST(CompletionRequest, TokenEstimateGrowsWithTheText) {
  LONGS_EQUAL(1, EstimateTokenCount(""));
  LONGS_EQUAL(1, EstimateTokenCount("abcd"));
  LONGS_EQUAL(2, EstimateTokenCount("abcde"));
}

TEST(CompletionRequest, MutatedBytesGiveARequestOrAMessage) {
  const std::string seed_body =
      R"({"model":"m","prompt":"hi","max_tokens":5,"stream":true,"stop":["a"],)"
      R"("messages":[{"role":"user","content":[{"text":"hi"}]}]})";
  RandomSource random(11);
  for (int i = 0; i < kMutationRounds; ++i) {
    const std::string body = Mutate(seed_body, random);
    for (const auto kind :
         {CompletionKind::kCompletions, CompletionKind::kChat}) {
      const auto request = ParseCompletionRequest(body, kind);
      if (!request) {
        CHECK_FALSE(request.error().message.empty());
        continue;
      }
      CHECK_FALSE(request.value().model.empty());
      CHECK_TRUE(request.value().max_tokens.value_or(1) > 0);
    }
  }
}

TEST(CompletionRequest, DeepNestingIsRefused) {
  const std::string body =
      R"({"model":"m","prompt":"a","x":)" + std::string(100000, '[');
  CHECK_FALSE(MessageOf(body, CompletionKind::kCompletions).empty());
}

TEST_GROUP(CompletionWriter){};

TEST(CompletionWriter, StreamsBothKinds) {
  CompletionWriter text(CompletionKind::kCompletions, "id\"1", "m", 7);
  STRCMP_EQUAL(
      "data: {\"id\":\"id\\\"1\",\"object\":\"text_completion\",\"created\":7,"
      "\"model\":\"m\",\"choices\":[{\"index\":0,\"text\":\"a\\n\",\"logprobs\""
      ":null,\"finish_reason\":null}]}\n\n",
      text.Chunk("a\n").c_str());
  CompletionWriter chat(CompletionKind::kChat, "i", "m", 7);
  STRCMP_CONTAINS("\"role\":\"assistant\"", chat.Chunk("a").c_str());
  const std::string second = chat.Chunk("b");
  CHECK_TRUE(second.find("role") == std::string::npos);
  STRCMP_CONTAINS("\"delta\":{\"content\":\"b\"}", second.c_str());
  const std::string end = chat.Finish(FinishReason::kLength, {3, 4}, true);
  STRCMP_CONTAINS("\"finish_reason\":\"length\"", end.c_str());
  STRCMP_CONTAINS("\"total_tokens\":7", end.c_str());
  CHECK_TRUE(end.ends_with("data: [DONE]\n\n"));
}

TEST(CompletionWriter, ChunksReadBackWhateverTheText) {
  RandomSource random(5);
  CompletionWriter writer(CompletionKind::kCompletions, "i", "m", 7);
  for (const std::string text : {"plain", "\"\\\n\t\x01", "খিড়কি", ""}) {
    const std::string chunk = writer.Chunk(text);
    const std::string events = ReadEvents(chunk, random);
    const std::string data = events.substr(1, events.size() - 2);
    const auto event = ParseDecodeEvent(data);
    CHECK_TRUE(event.has_value());
    STRCMP_EQUAL(text.c_str(), event.value().text.c_str());
  }
  CHECK_TRUE(writer.Chunk("\xff").find('\xff') == std::string::npos);
}

TEST_GROUP(ProblemDetails){};

TEST(ProblemDetails, ReadsBackAndAsksToComeAgain) {
  const HttpResponse response =
      ToHttpResponse({.status = 429,
                      .title = "Over the allowance",
                      .detail = "bad \xff byte",
                      .execution = Execution::kNotRun,
                      .retry_after = std::chrono::milliseconds(1200),
                      .request_id = "e.1.2"});
  STRCMP_EQUAL("application/problem+json", response.content_type.c_str());
  CHECK_TRUE(response.headers.Find("retry-after") == "2");
  const auto problem = ParseProblemDetails(response.body);
  CHECK_TRUE(problem.has_value());
  CHECK_TRUE(problem.value().execution == Execution::kNotRun);
  LONGS_EQUAL(429, problem.value().status);
  STRCMP_EQUAL("e.1.2", problem.value().request_id.c_str());
  CHECK_FALSE(ParseProblemDetails(R"({"status":500})").has_value());
}

TEST_GROUP(BackendMessages){};

TEST(BackendMessages, AnnouncementReadsBack) {
  const Announcement sent = SampleAnnouncement();
  const auto read = ParseAnnouncement(WriteAnnouncement(sent));
  CHECK_TRUE(read.has_value());
  const BackendServerRecord& record = read.value().record;
  CHECK_TRUE(record.id == sent.record.id);
  CHECK_TRUE(record.role == sent.record.role);
  CHECK_TRUE(record.model == sent.record.model);
  CHECK_TRUE(record.address == sent.record.address);
  CHECK_TRUE(record.state == BackendServerState::kLeaving);
  CHECK_TRUE(record.checks_fencing);
  LONGS_EQUAL(sent.record.incarnation, record.incarnation);
  LONGS_EQUAL(70, record.load.kv_used_bytes);
  LONGS_EQUAL(6, read.value().sequence);
  CHECK_TRUE(read.value().held == sent.held);
}

TEST(BackendMessages, EngineMessagesReadBack) {
  const EnginePrompt input{.model = "m",
                           .prompt = "p",
                           .delivered_text = " x",
                           .priority = 3,
                           .sampling = R"({"seed":4})"};
  const auto prefill = ParsePrefillRequest(WritePrefillRequest({input}));
  CHECK_TRUE(prefill.has_value());
  STRCMP_EQUAL(" x", prefill.value().input.delivered_text.c_str());
  LONGS_EQUAL(3, prefill.value().input.priority);
  const auto result = ParsePrefillResult(
      WritePrefillResult({"p1", "h-1", {"10.0.0.2", 80}, 500}));
  CHECK_TRUE(result.has_value());
  LONGS_EQUAL(500, result.value().kv_bytes);
  const auto decode = ParseDecodeRequest(WriteDecodeRequest(
      {input, 9, 2, std::string(result.value().kv_transfer_params)}));
  CHECK_TRUE(decode.has_value());
  LONGS_EQUAL(9, decode.value().max_tokens);
  LONGS_EQUAL(2, decode.value().resume_from);
  const auto kv = ParseKvTransferParams(decode.value().kv_transfer_params);
  CHECK_TRUE(kv.has_value());
  STRCMP_EQUAL("h-1", kv.value().handle.c_str());
  CHECK_TRUE(kv.value().endpoint == (Endpoint{"10.0.0.2", 80}));
}

TEST(BackendMessages, MutatedBytesNeverGetThrough) {
  const std::string announcement = WriteAnnouncement(SampleAnnouncement());
  const std::string event =
      R"({"choices":[{"index":0,"text":"a"}],"offset":3})";
  RandomSource random(13);
  for (int i = 0; i < kMutationRounds; ++i) {
    const auto read = ParseAnnouncement(Mutate(announcement, random));
    if (read) {
      CHECK_FALSE(read.value().record.id.empty());
      CHECK_TRUE(read.value().record.address.port != 0);
    }
    (void)ParseDecodeEvent(Mutate(event, random));
    (void)ParseCancel(Mutate(R"({"request":"e.1.2","attempt":1})", random));
    (void)ParseKvTransferParams(Mutate(
        R"({"remote_block_ids":["h"],"remote_host":"a","remote_port":1})",
        random));
  }
}

}  // namespace briarlead
