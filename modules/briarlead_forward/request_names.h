#ifndef BRIARLEAD_FORWARD_REQUEST_NAMES_H_
#define BRIARLEAD_FORWARD_REQUEST_NAMES_H_

#include <array>
#include <string_view>

#include "briarlead_routes/suspect_id.h"

namespace briarlead {

/// What a request asks for and who asks: what stays the same when a caller
/// sends it again. Views of data that the request's owner holds.
struct RequestContent {
  std::string_view method;
  std::string_view host;
  std::string_view path;
  std::string_view query;
  std::string_view address;      ///< Of the caller's connection.
  std::string_view credentials;  ///< Of the caller; may be empty.
  std::string_view body;
};

/// The names under which the content of a request is known, by cryptographic
/// hashes, so that no caller can make its requests look like another's. What
/// ends servers may come again with another query or from another address, and
/// others may use the same path, so that no single name fits all cases.
struct RequestNames {
  SuspectId by_target;  ///< Method, host, path with query, body.
  SuspectId by_path;    ///< The same without the query.
  SuspectId by_caller;  ///< The same without the query, with the caller.

  [[nodiscard]] std::array<SuspectId, 3> All() const {
    return {by_target, by_path, by_caller};
  }
  friend bool operator==(const RequestNames&, const RequestNames&) = default;
};

/// Returns the names of requests that differ from `content` only in their
/// bodies: their common upper bits.
RequestNames HeadNamesOf(const RequestContent& content);
/// Returns the names of `content`. Costs a hash of its body.
RequestNames NamesOf(const RequestContent& content);

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_REQUEST_NAMES_H_
