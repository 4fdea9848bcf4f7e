#ifndef BRIARLEAD_ENTRY_HTTP_ANSWERS_H_
#define BRIARLEAD_ENTRY_HTTP_ANSWERS_H_

#include <optional>
#include <string>
#include <string_view>

#include "briarlead_core/time.h"
#include "briarlead_entry/entry_context.h"
#include "briarlead_http/briarlead_http.h"

namespace briarlead {

/// Returns a problem details response; `retry_after` sets its Retry-After.
HttpResponse MakeProblem(int status,
                         std::string_view title,
                         std::string_view detail,
                         Execution execution,
                         std::optional<Duration> retry_after = std::nullopt);

/// Responds to a request that was not run, and logs the refusal.
void Refuse(const EntryContext& context,
            HttpExchange& exchange,
            int status,
            std::string_view title,
            std::string_view detail,
            std::optional<Duration> retry_after = std::nullopt);

/// Responds with plain text.
void RespondText(HttpExchange& exchange, int status, std::string_view text);

/// Responds with status 200 and a JSON document.
void RespondJson(HttpExchange& exchange, std::string body);

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_HTTP_ANSWERS_H_
