#ifndef BRIARLEAD_CONTROL_OPERATOR_API_H_
#define BRIARLEAD_CONTROL_OPERATOR_API_H_

#include <string_view>

#include "briarlead_core/error.h"
#include "briarlead_http/http_types.h"
#include "briarlead_state/control_message.h"

namespace briarlead {

/// Parses an operator's HTTP request into a request to the control service:
///
///   POST /v1/lists            {"base_revision", "customers"?, "plans"?,
///                              "operator"?, "change_id"?,
///                              "submitted_wall_ms"?}
///   GET  /v1/lists
///   GET  /v1/reach?revision=N
///   GET  /v1/status
///
/// `customers` and `plans` hold the whole text of a list; a list that is left
/// out stays unchanged. Errors: kNotFound for another method or path, and
/// kInvalidArgument with all faults of the body or the query.
Result<ControlRequestBody> ParseOperatorRequest(std::string_view method,
                                                std::string_view path,
                                                std::string_view query,
                                                std::string_view body);

/// Returns the HTTP response that carries `answer`.
HttpResponse WriteOperatorResponse(const ControlAnswerBody& answer);

/// Returns the HTTP response to a request that was rejected with `error`.
HttpResponse WriteOperatorError(const Error& error);

}  // namespace briarlead

#endif  // BRIARLEAD_CONTROL_OPERATOR_API_H_
