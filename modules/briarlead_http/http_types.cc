#include "briarlead_http/http_types.h"

#include <glib.h>

namespace briarlead {

std::optional<std::string_view> FindHeader(const HttpHeaders& headers,
                                           std::string_view name) {
  for (const HttpHeader& it : headers) {
    if (it.name.size() == name.size() &&
        g_ascii_strncasecmp(it.name.data(), name.data(), name.size()) == 0) {
      return it.value;
    }
  }
  return std::nullopt;
}

}  // namespace briarlead
