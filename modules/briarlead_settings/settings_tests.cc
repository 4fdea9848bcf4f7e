#include "briarlead_settings/briarlead_settings.h"

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <sstream>
#include <string>

#include "briarlead_core/random_source.h"

namespace briarlead {

namespace {

std::string ExampleText(const std::string& name) {
  std::ifstream file(std::string(BRIARLEAD_EXAMPLES_DIR) + "/" + name);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Returns the text of the example file `name` with the first `from` replaced
/// by `to`.
std::string ExampleWith(const std::string& name,
                        const std::string& from,
                        const std::string& to) {
  std::string text = ExampleText(name);
  const std::size_t position = text.find(from);
  CHECK_TRUE(position != std::string::npos);
  return text.replace(position, from.size(), to);
}

/// Returns the findings for the entry example with `from` replaced by `to`.
std::string EntryFindings(const std::string& from, const std::string& to) {
  Findings findings;
  const auto settings =
      ParseEntrySettings("e", ExampleWith("entry.json", from, to), findings);
  CHECK_EQUAL(settings.has_value(), findings.empty());
  return findings.Format();
}

/// Returns the findings for the control example with `from` replaced by `to`.
std::string ControlFindings(const std::string& from, const std::string& to) {
  Findings findings;
  const auto settings = ParseControlSettings(
      "c", ExampleWith("control.json", from, to), findings);
  CHECK_EQUAL(settings.has_value(), findings.empty());
  return findings.Format();
}

}  // namespace

TEST_GROUP(Settings){};

TEST(Settings, ReadsTheEntryExample) {
  Findings findings;
  const auto settings =
      ParseEntrySettings("entry.json", ExampleText("entry.json"), findings);
  STRCMP_EQUAL("", findings.Format().c_str());
  STRCMP_EQUAL("entry-howrah-1", settings->host.value().c_str());
  STRCMP_EQUAL("127.0.0.1:7000", ToString(settings->peers).c_str());
  LONGS_EQUAL(32, settings->frame_key.size());
  BYTES_EQUAL(0x7e, settings->frame_key[0]);
  const ServiceSettings* desk = settings->FindByPath("/visit-desk/visits/7");
  STRCMP_EQUAL("visit-desk", desk->service.value().c_str());
  CHECK_TRUE(desk->answer_timeout == std::chrono::seconds(5));
  CHECK_TRUE(desk->IsRepeatable("GET", "/visits"));
  CHECK_FALSE(desk->IsRepeatable("POST", "/visits"));
  CHECK_FALSE(desk->IsRepeatable("GET", "/visits/7"));
  POINTERS_EQUAL(nullptr, settings->FindByPath("/visit-desks"));
  LONGS_EQUAL(32768, settings->Find(ModelId("summary"))->max_prompt_tokens);
  POINTERS_EQUAL(nullptr, settings->Find(ModelId("other")));
  LONGS_EQUAL(4096, settings->limits.max_connections);
}

TEST(Settings, ReadsTheControlExample) {
  Findings findings;
  const auto settings = ParseControlSettings(
      "control.json", ExampleText("control.json"), findings);
  STRCMP_EQUAL("", findings.Format().c_str());
  STRCMP_EQUAL("data/control-howrah-1", settings->data_folder.c_str());
  LONGS_EQUAL(1, settings->members.size());
  CHECK_TRUE(settings->members[0].peers == settings->peers);
}

TEST(Settings, EntryFindingsNameThePlaceOfTheFault) {
  STRCMP_CONTAINS("e: callers.address: expected an IP address",
                  EntryFindings("127.0.0.1", "localhost").c_str());
  STRCMP_CONTAINS("e: callers.port: expected a whole number from 1 to 65535",
                  EntryFindings("8080", "80800").c_str());
  STRCMP_CONTAINS("e: peers: is the same endpoint",
                  EntryFindings("7000", "8080").c_str());
  STRCMP_CONTAINS("e: services[0].path_prefix: \"/v1\" is answered by",
                  EntryFindings("\"/visit-desk\"", "\"/v1/x\"").c_str());
  STRCMP_CONTAINS("e: services[0].repeatable[1]: expected a string such as",
                  EntryFindings("GET /jobs", "FETCH /jobs").c_str());
  STRCMP_CONTAINS(
      "e: models[0].max_promt_tokens: unknown key",
      EntryFindings("max_prompt_tokens", "max_promt_tokens").c_str());
  STRCMP_CONTAINS(
      "e: log_level: expected one of",
      EntryFindings("\"log_level\": \"info\"", "\"log_level\": 7").c_str());
  STRCMP_CONTAINS("e: limits.max_body_bytes: expected a whole number",
                  EntryFindings("1048576", "1048576.5").c_str());
}

TEST(Settings, ControlFindingsNameThePlaceOfTheFault) {
  STRCMP_CONTAINS("c: data_folder: missing key",
                  ControlFindings("data_folder", "folder").c_str());
  STRCMP_CONTAINS("c: members: host \"control-howrah-1\" is listed with",
                  ControlFindings("7100", "7101").c_str());
  STRCMP_CONTAINS(
      "c: frame_key: expected",
      ControlFindings("\"frame_key\": \"", "\"frame_key\": \"zz").c_str());
  STRCMP_CONTAINS("c: operator_key_sha256: expected",
                  ControlFindings("sha256\": \"", "sha256\": \"0").c_str());
}

TEST(Settings, OverlappingPathPrefixesAreRefused) {
  const std::string findings = EntryFindings(
      "\"services\": [",
      R"("services": [{"service":"a","path_prefix":"/visit-desk/a"},)");
  STRCMP_CONTAINS("e: services[1].path_prefix: overlaps with the prefix",
                  findings.c_str());
}

TEST(Settings, EveryTruncationIsRefusedWithOneFinding) {
  const std::string text = ExampleText("entry.json");
  const std::size_t end = text.rfind('}');
  for (std::size_t length = 0; length < end; length += 3) {
    Findings findings;
    CHECK_FALSE(ParseEntrySettings("e", text.substr(0, length), findings));
    LONGS_EQUAL(1, findings.items().size());
  }
}

TEST(Settings, MutatedSettingsAreAcceptedOrRefusedWithBoundedFindings) {
  RandomSource random(7);
  const std::string entry = ExampleText("entry.json");
  const std::string control = ExampleText("control.json");
  for (int round = 0; round < 1000; ++round) {
    std::string text = round % 2 == 0 ? entry : control;
    for (std::uint64_t changes = 1 + random.Below(4); changes > 0; --changes)
      text[random.Below(text.size())] = static_cast<char>(random.Below(256));
    Findings findings;
    const bool accepted =
        round % 2 == 0 ? ParseEntrySettings("e", text, findings).has_value()
                       : ParseControlSettings("c", text, findings).has_value();
    CHECK_EQUAL(accepted, findings.empty());
    CHECK_TRUE(findings.Format().size() < 4000);
  }
}

}  // namespace briarlead
