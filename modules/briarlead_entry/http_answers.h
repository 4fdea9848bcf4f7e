#ifndef BRIARLEAD_ENTRY_HTTP_ANSWERS_H_
#define BRIARLEAD_ENTRY_HTTP_ANSWERS_H_

#include <optional>
#include <string>
#include <string_view>

#include "briarlead_core/time.h"
#include "briarlead_entry/entry_context.h"
#include "briarlead_http/briarlead_http.h"

namespace briarlead {

/// Returns the bearer key of a request; empty when there is none.
std::string_view BearerKey(const HttpExchange& exchange);

/// Returns a problem details response. With `retry_after` it says when to come
/// back.
HttpResponse MakeProblem(int status,
                         std::string_view title,
                         std::string_view detail,
                         Execution execution,
                         std::optional<Duration> retry_after = std::nullopt);

/// Answers a request that was not run, and logs it.
void Refuse(const EntryContext& context,
            HttpExchange& exchange,
            int status,
            std::string_view title,
            std::string_view detail,
            std::optional<Duration> retry_after = std::nullopt);

/// Answers with plain text.
void RespondText(HttpExchange& exchange, int status, std::string_view text);

/// Answers 200 with a JSON document.
void RespondJson(HttpExchange& exchange, std::string body);

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_HTTP_ANSWERS_H_
