#ifndef BRIARLEAD_CORE_ERROR_H_
#define BRIARLEAD_CORE_ERROR_H_

#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <string_view>

namespace briarlead {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// What kind of failure an Error is; callers branch on this, never on text.
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

/// A failure: its kind and a sentence for a person.
struct Error {
  ErrorCode code = ErrorCode::kInvalidArgument;
  std::string message;

  friend bool operator==(const Error&, const Error&) = default;
};

/// Either a `T` or an Error. Test it before use: value() of a failure is
/// undefined, as with Boost.Outcome's unchecked results.
template <typename T>
using Result = outcome::unchecked<T, Error>;

/// Makes the failure to return from a function that returns a Result.
inline auto Fail(ErrorCode code, std::string message) {
  return outcome::failure(Error{code, std::move(message)});
}

}  // namespace briarlead

#endif  // BRIARLEAD_CORE_ERROR_H_
