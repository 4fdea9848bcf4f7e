#ifndef BRIARLEAD_HTTP_SOUP_HEADERS_H_
#define BRIARLEAD_HTTP_SOUP_HEADERS_H_

#include <libsoup/soup.h>

#include <optional>
#include <string_view>

#include "briarlead_http/http_types.h"

namespace briarlead {

/// Returns the first value of `name` in `headers`; the view holds until they
/// change.
std::optional<std::string_view> FindSoupHeader(SoupMessageHeaders* headers,
                                               std::string_view name);

/// Copies every header field.
HttpHeaders CopySoupHeaders(SoupMessageHeaders* headers);

/// Appends one field. One whose name or value would break the message's
/// framing (line ends, NUL, no name) is left out.
void AppendSoupHeader(SoupMessageHeaders* headers,
                      std::string_view name,
                      std::string_view value);

/// Appends every field as AppendSoupHeader() does.
void AppendSoupHeaders(SoupMessageHeaders* headers, const HttpHeaders& fields);

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_SOUP_HEADERS_H_
