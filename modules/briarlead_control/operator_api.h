#ifndef BRIARLEAD_CONTROL_OPERATOR_API_H_
#define BRIARLEAD_CONTROL_OPERATOR_API_H_

#include <string_view>

#include "briarlead_core/error.h"
#include "briarlead_http/http_types.h"
#include "briarlead_state/control_message.h"

namespace briarlead {

/// Reads an operator's HTTP request as a question to the control service:
///
///   POST /v1/lists            {"base_revision", "customers"?, "plans"?,
///                              "operator"?, "change_id"?,
///                              "submitted_wall_ms"?}
///   GET  /v1/lists
///   GET  /v1/reach?revision=N
///   GET  /v1/status
///
/// The lists stand in the body as texts. Errors: kNotFound for another path,
/// kInvalidArgument with every fault of the body.
Result<ControlRequestBody> ReadOperatorRequest(std::string_view method,
                                               std::string_view path,
                                               std::string_view query,
                                               std::string_view body);

/// Returns the HTTP response that carries `answer`.
HttpResponse WriteOperatorResponse(const ControlAnswerBody& answer);

/// Returns the HTTP response to a request that could not be read.
HttpResponse WriteOperatorError(const Error& error);

}  // namespace briarlead

#endif  // BRIARLEAD_CONTROL_OPERATOR_API_H_
