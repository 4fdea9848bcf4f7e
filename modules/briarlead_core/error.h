#ifndef BRIARLEAD_CORE_ERROR_H_
#define BRIARLEAD_CORE_ERROR_H_

#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <string_view>

namespace briarlead {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// Category of an Error. Callers branch on the code, never on the message.
enum class ErrorCode {
  kInvalidArgument,
  kNotFound,
  kConflict,
  kUnauthenticated,
  kUnavailable,
  kTimedOut,
  kTooLarge,
  kCorrupt,
  kIo,
};

/// Returns the name of `code` as it appears in logs, for example "not_found".
std::string_view ToString(ErrorCode code);

/// A failure: its category and a human-readable message.
struct Error {
  ErrorCode code = ErrorCode::kInvalidArgument;
  std::string message;

  friend bool operator==(const Error&, const Error&) = default;
};

/// Holds either a `T` or an Error. Check has_value() first: value() of a
/// failure is undefined behaviour, since this is an unchecked result of
/// Boost.Outcome.
template <typename T>
using Result = outcome::unchecked<T, Error>;

/// Returns a failure that converts implicitly to a Result of any type.
inline auto Fail(ErrorCode code, std::string message) {
  return outcome::failure(Error{code, std::move(message)});
}

}  // namespace briarlead

#endif  // BRIARLEAD_CORE_ERROR_H_
