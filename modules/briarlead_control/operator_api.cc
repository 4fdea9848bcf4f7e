#include "briarlead_control/operator_api.h"

#include <charconv>
#include <limits>
#include <optional>
#include <string>
#include <variant>

#include "briarlead_core/findings.h"
#include "briarlead_json/briarlead_json.h"

namespace briarlead {

namespace {

constexpr std::string_view kDocumentName = "request";
constexpr std::string_view kRevisionPrefix = "revision=";
constexpr std::int64_t kMaxNumber = std::numeric_limits<std::int64_t>::max();
constexpr std::string_view kProblemType = "application/problem+json";
constexpr std::string_view kJsonType = "application/json";
/// Time after which an operator may retry when the cluster could not answer.
constexpr std::string_view kRetryAfterSeconds = "1";

std::optional<std::string> ReadListText(JsonObjectReader& reader,
                                        std::string_view key) {
  if (!reader.Has(key))
    return std::nullopt;
  return reader.String(key, {0, kMaxStoredListBytes});
}

Result<ControlRequestBody> ParseApplyLists(std::string_view body) {
  JsonLimits limits;
  limits.max_bytes = 2 * kMaxControlMessageBytes;
  limits.allow_comments = false;
  Findings findings;
  const auto document = ParseJson(kDocumentName, body, limits, findings);
  if (!document.has_value())
    return Fail(ErrorCode::kInvalidArgument, findings.Format());
  JsonObjectReader reader(*document, {std::string(kDocumentName), ""},
                          findings);
  ApplyLists apply;
  apply.base_revision = static_cast<std::uint64_t>(
      reader.Integer("base_revision", {0, kMaxNumber}));
  apply.customers = ReadListText(reader, "customers");
  apply.plans = ReadListText(reader, "plans");
  if (reader.Has("operator"))
    apply.operator_name = reader.String("operator", {0, kMaxOperatorTextBytes});
  if (reader.Has("change_id"))
    apply.change_id = reader.String("change_id", {0, kMaxOperatorTextBytes});
  apply.submitted_wall_ms = static_cast<std::uint64_t>(
      reader.IntegerOr("submitted_wall_ms", 0, {0, kMaxNumber}));
  reader.ReportUnknownKeys();
  if (!findings.empty())
    return Fail(ErrorCode::kInvalidArgument, findings.Format());
  return ControlRequestBody(apply);
}

Result<ControlRequestBody> ParseReachQuery(std::string_view query) {
  ReadReach reach;
  const std::string_view digits = query.starts_with(kRevisionPrefix)
                                      ? query.substr(kRevisionPrefix.size())
                                      : "";
  const auto [end, ec] = std::from_chars(
      digits.data(), digits.data() + digits.size(), reach.revision);
  if (digits.empty() || ec != std::errc() ||
      end != digits.data() + digits.size()) {
    return Fail(ErrorCode::kInvalidArgument, "expected ?revision=NUMBER");
  }
  return ControlRequestBody(reach);
}

HttpResponse MakeResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.content_type = status < 400 ? kJsonType : kProblemType;
  response.body = std::move(body);
  return response;
}

void WriteProblem(JsonWriter& writer,
                  int status,
                  std::string_view title,
                  std::string_view detail) {
  writer.Field("type", "about:blank")
      .Field("title", title)
      .Field("status", status)
      .Field("detail", detail);
}

/// Writes the HTTP response for each type of answer.
class ResponseWriter {
 public:
  HttpResponse operator()(const ApplyListsResult& answer) const;
  HttpResponse operator()(const RequestRefused& answer) const;
  HttpResponse operator()(const ReachReport& answer) const;
  HttpResponse operator()(const ListsInForce& answer) const;
  HttpResponse operator()(const ControlStatus& answer) const;
  /// For answers to requests that are not part of the operators' API.
  template <typename Answer>
  HttpResponse operator()(const Answer&) const {
    return WriteOperatorError({ErrorCode::kNotFound, "no such answer"});
  }
};

std::string_view VerdictName(ApplyVerdict verdict) {
  switch (verdict) {
    case ApplyVerdict::kAccepted:
      return "accepted";
    case ApplyVerdict::kConflict:
      return "conflict";
    case ApplyVerdict::kInvalid:
      return "invalid";
    case ApplyVerdict::kTooOld:
      return "too_old";
  }
  return "unknown";
}

HttpResponse ResponseWriter::operator()(const ApplyListsResult& answer) const {
  const bool accepted = answer.verdict == ApplyVerdict::kAccepted;
  const int status = accepted ? 200 : 409;
  JsonWriter writer;
  writer.BeginObject();
  if (!accepted) {
    WriteProblem(writer, status, "The lists were not changed",
                 VerdictName(answer.verdict));
  }
  writer.Field("verdict", VerdictName(answer.verdict))
      .Field("current_revision", answer.current_revision)
      .Key("change")
      .BeginObject()
      .Field("revision", answer.change.revision)
      .Field("operator", answer.change.operator_name)
      .Field("submitted_wall_ms", answer.change.submitted_wall_ms)
      .EndObject()
      .EndObject();
  return MakeResponse(status, writer.Take());
}

HttpResponse ResponseWriter::operator()(const RequestRefused& answer) const {
  const bool invalid = answer.reason == RefusalReason::kInvalidLists;
  const int status = invalid ? 422 : 503;
  JsonWriter writer;
  writer.BeginObject();
  WriteProblem(
      writer, status,
      invalid ? "The lists have findings; nothing was changed"
              : "This host can't answer now",
      answer.reason == RefusalReason::kNotLeader ? "not the leader" : "");
  writer.Field("may_have_committed", answer.may_have_committed)
      .Field("leader", answer.leader.value())
      .Key("findings")
      .BeginArray();
  for (const Finding& it : answer.findings) {
    writer.BeginObject()
        .Field("file", it.file)
        .Field("place", it.place)
        .Field("message", it.message)
        .EndObject();
  }
  writer.EndArray().EndObject();
  HttpResponse response = MakeResponse(status, writer.Take());
  if (!invalid)
    response.headers.Add("Retry-After", kRetryAfterSeconds);
  return response;
}

HttpResponse ResponseWriter::operator()(const ReachReport& answer) const {
  JsonWriter writer;
  writer.BeginObject()
      .Field("revision", answer.revision)
      .Key("data_centres")
      .BeginArray();
  for (const DataCentreReach& it : answer.data_centres) {
    writer.BeginObject()
        .Field("data_centre", it.data_centre.value())
        .Field("hosts_known", it.hosts_known)
        .Field("hosts_heard", it.hosts_heard)
        .Field("hosts_in_force", it.hosts_in_force)
        .Field("reached", it.reached)
        .EndObject();
  }
  writer.EndArray().EndObject();
  return MakeResponse(200, writer.Take());
}

HttpResponse ResponseWriter::operator()(const ListsInForce& answer) const {
  JsonWriter writer;
  writer.BeginObject()
      .Field("revision", answer.revision)
      .Field("customers_revision", answer.customers_revision)
      .Field("plans_revision", answer.plans_revision)
      .Field("customers", answer.customers)
      .Field("plans", answer.plans)
      .EndObject();
  return MakeResponse(200, writer.Take());
}

HttpResponse ResponseWriter::operator()(const ControlStatus& answer) const {
  JsonWriter writer;
  writer.BeginObject()
      .Field("host", answer.host.value())
      .Field("leader", answer.leader.value())
      .Field("term", answer.term)
      .Field("is_leader", answer.is_leader)
      .Field("applied_index", answer.applied_index)
      .Field("lists_revision", answer.lists_revision)
      .Field("claims", answer.claims)
      .Field("claims_in_progress", answer.claims_in_progress)
      .Field("claim_bytes", answer.claim_bytes)
      .Field("open_orders", answer.open_orders)
      .Field("last_fencing", answer.last_fencing)
      .EndObject();
  return MakeResponse(200, writer.Take());
}

}  // namespace

Result<ControlRequestBody> ParseOperatorRequest(std::string_view method,
                                                std::string_view path,
                                                std::string_view query,
                                                std::string_view body) {
  if (method == "POST" && path == "/v1/lists")
    return ParseApplyLists(body);
  if (method == "GET" && path == "/v1/lists")
    return ControlRequestBody(ReadLists{});
  if (method == "GET" && path == "/v1/reach")
    return ParseReachQuery(query);
  if (method == "GET" && path == "/v1/status")
    return ControlRequestBody(ReadStatus{});
  return Fail(ErrorCode::kNotFound, "no such operation");
}

HttpResponse WriteOperatorResponse(const ControlAnswerBody& answer) {
  return std::visit(ResponseWriter(), answer);
}

HttpResponse WriteOperatorError(const Error& error) {
  const int status = error.code == ErrorCode::kNotFound          ? 404
                     : error.code == ErrorCode::kUnauthenticated ? 401
                                                                 : 400;
  JsonWriter writer;
  writer.BeginObject();
  WriteProblem(writer, status, ToString(error.code), error.message);
  writer.EndObject();
  return MakeResponse(status, writer.Take());
}

}  // namespace briarlead
