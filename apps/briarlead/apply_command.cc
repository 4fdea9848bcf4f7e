#include <fmt/format.h>
#include <glib.h>

#include <cstdio>
#include <optional>
#include <string>
#include <vector>

#include "briarlead/command_line.h"
#include "briarlead/commands.h"
#include "briarlead/exit_codes.h"
#include "briarlead/operator_client.h"
#include "briarlead/settings_file.h"
#include "briarlead_json/briarlead_json.h"
#include "briarlead_lists/briarlead_lists.h"
#include "briarlead_net/loop_clock.h"

namespace briarlead {

namespace {

/// Time in which control hosts are asked again until one answers as leader.
constexpr Duration kLeaderWait = std::chrono::seconds(10);
constexpr gulong kPauseMicroseconds = 100'000;

/// What a member of a JSON answer says; zero or empty when it is missing.
std::uint64_t NumberOf(const JsonValue& value, std::string_view key) {
  const JsonValue* it = value.Find(key);
  return it == nullptr ? 0 : it->AsUnsigned().value_or(0);
}

std::string TextOf(const JsonValue& value, std::string_view key) {
  const JsonValue* it = value.Find(key);
  return it == nullptr || it->AsString() == nullptr ? "" : *it->AsString();
}

/// Sends a change until a control host accepts or refuses it for good. Sending
/// it again is safe: a change that was accepted gives its first answer again.
class ApplyRun {
 public:
  ApplyRun(OperatorClient& client, std::vector<Endpoint> controls)
      : client_(client), controls_(std::move(controls)) {}

  /// Returns the answer of the leader; nullopt when none gave one in time.
  std::optional<HttpResponse> Send(const std::string& body) {
    const TimePoint end = LoopNow() + kLeaderWait;
    while (LoopNow() < end) {
      for (const Endpoint& it : controls_) {
        const Result<HttpResponse> answer =
            client_.Ask(it, "POST", "/v1/lists", body);
        if (answer && answer.value().status != 503) {
          leader_ = it;
          return answer.value();
        }
      }
      g_usleep(kPauseMicroseconds);
    }
    return std::nullopt;
  }

  /// Waits until `revision` is in force in every data centre, or `wait` ends;
  /// prints where it is. Returns whether it is in force everywhere.
  bool ReportReach(std::uint64_t revision, Duration wait) {
    const TimePoint end = LoopNow() + wait;
    while (true) {
      const bool last = LoopNow() >= end;
      const Result<HttpResponse> answer = client_.Ask(
          *leader_, "GET", "/v1/reach?revision=" + std::to_string(revision));
      if (answer && answer.value().status == 200) {
        const Result<JsonValue> document = ParseJson(answer.value().body);
        if (document && (AllReached(document.value()) || last)) {
          PrintReach(document.value());
          return AllReached(document.value());
        }
      }
      if (last)
        return false;
      g_usleep(kPauseMicroseconds);
    }
  }

 private:
  static bool AllReached(const JsonValue& report) {
    const JsonValue* centres = report.Find("data_centres");
    if (centres == nullptr || centres->items().empty())
      return false;
    for (const JsonValue& it : centres->items()) {
      const JsonValue* reached = it.Find("reached");
      if (reached == nullptr || !reached->AsBoolean().value_or(false))
        return false;
    }
    return true;
  }

  static void PrintReach(const JsonValue& report) {
    const JsonValue* centres = report.Find("data_centres");
    if (centres == nullptr)
      return;
    for (const JsonValue& it : centres->items()) {
      const JsonValue* reached = it.Find("reached");
      const bool everywhere =
          reached != nullptr && reached->AsBoolean().value_or(false);
      fmt::print("  {}: {} ({} of {} hosts)\n", TextOf(it, "data_centre"),
                 everywhere ? "in force" : "NOT CONFIRMED",
                 NumberOf(it, "hosts_in_force"), NumberOf(it, "hosts_known"));
    }
  }

  OperatorClient& client_;
  std::vector<Endpoint> controls_;
  std::optional<Endpoint> leader_;
};

int ReportRefusal(const HttpResponse& answer) {
  const Result<JsonValue> document = ParseJson(answer.body);
  if (!document) {
    fmt::print(stderr, "briarlead apply: status {}\n", answer.status);
    return kExitFailure;
  }
  if (answer.status == 422) {
    const JsonValue* findings = document.value().Find("findings");
    for (const JsonValue& it : findings == nullptr
                                   ? std::span<const JsonValue>()
                                   : findings->items()) {
      fmt::print(stderr, "{}: {}: {}\n", TextOf(it, "file"),
                 TextOf(it, "place"), TextOf(it, "message"));
    }
    return kExitFindings;
  }
  if (answer.status == 409) {
    const JsonValue* change = document.value().Find("change");
    fmt::print(stderr,
               "briarlead apply: {}: revision {} was made by \"{}\"; the lists "
               "are at revision {}\n",
               TextOf(document.value(), "verdict"),
               change == nullptr ? 0 : NumberOf(*change, "revision"),
               change == nullptr ? "" : TextOf(*change, "operator"),
               NumberOf(document.value(), "current_revision"));
    return kExitConflict;
  }
  fmt::print(stderr, "briarlead apply: {}\n",
             TextOf(document.value(), "detail"));
  return kExitFailure;
}

/// Adds the text of a list to the change, if its option was given.
bool AddList(const CommandLine& line,
             std::string_view option,
             JsonWriter& writer) {
  if (!line.Has(option))
    return true;
  const Result<std::string> text =
      ReadWholeFile(line.Get(option), kMaxListBytes);
  if (!text) {
    PrintError("apply", text.error());
    return false;
  }
  writer.Field(option, text.value());
  return true;
}

}  // namespace

int RunApply(const Arguments& arguments) {
  CommandLine line(
      "apply",
      "Changes the lists: customers, plans or both. Names the revision that\n"
      "the change was made from; another change made from it meanwhile wins.",
      {{"control", "control hosts' operator endpoints, ADDRESS:PORT,...", "",
        true},
       {"key-file", "file with the operator's bearer key", "", true},
       {"base", "revision that the change was made from", "", true},
       {"customers", "list of customers", ""},
       {"plans", "list of plans", ""},
       {"operator", "name that others see", ""},
       {"change-id", "tells apart changes that are alike", ""},
       {"wait-seconds", "longest wait until it is in force everywhere", "8"}},
      "  briarlead apply --control 10.0.0.1:7400 --key-file operator.key \\\n"
      "      --base 12 --customers customers.json --operator asha\n");
  if (const auto exit_code = line.Parse(arguments))
    return *exit_code;
  const auto controls = ReadEndpointList(line.Get("control"));
  const auto key = ReadKeyFile(line.Get("key-file"));
  if (!controls || !key) {
    PrintError("apply", controls ? key.error() : controls.error());
    return kExitUsage;
  }
  const Result<JsonValue> base = ParseJson(line.Get("base"));
  const Result<JsonValue> wait = ParseJson(line.Get("wait-seconds"));
  if (!base || !base.value().AsUnsigned() || !wait ||
      !wait.value().AsNumber()) {
    fmt::print(stderr,
               "briarlead apply: --base and --wait-seconds take "
               "numbers\n");
    return kExitUsage;
  }
  JsonWriter writer;
  writer.BeginObject().Field("base_revision", *base.value().AsUnsigned());
  if (!AddList(line, "customers", writer) || !AddList(line, "plans", writer))
    return kExitFailure;
  writer.Field("operator", line.Get("operator"))
      .Field("change_id", line.Get("change-id"))
      .Field("submitted_wall_ms", g_get_real_time() / 1000)
      .EndObject();
  OperatorClient client(key.value());
  ApplyRun run(client, controls.value());
  const std::optional<HttpResponse> answer = run.Send(writer.Take());
  if (!answer.has_value()) {
    fmt::print(stderr,
               "briarlead apply: no control host answered as leader; whether "
               "the change was accepted is unknown, send it again\n");
    return kExitUnreachable;
  }
  if (answer->status != 200)
    return ReportRefusal(*answer);
  const Result<JsonValue> document = ParseJson(answer->body);
  const JsonValue* change =
      document ? document.value().Find("change") : nullptr;
  const std::uint64_t revision =
      change == nullptr ? 0 : NumberOf(*change, "revision");
  fmt::print("accepted as revision {}\n", revision);
  std::fflush(stdout);
  const bool everywhere =
      run.ReportReach(revision, FromSeconds(*wait.value().AsNumber()));
  return everywhere ? kExitOk : kExitNotEverywhere;
}

}  // namespace briarlead
