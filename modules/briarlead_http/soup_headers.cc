#include "briarlead_http/soup_headers.h"

#include <string>

namespace briarlead {

namespace {

constexpr std::string_view kNameSymbols = "!#$%&'*+-.^_`|~";

bool IsTokenCharacter(char c) {
  return g_ascii_isalnum(c) || kNameSymbols.find(c) != std::string_view::npos;
}

bool IsName(std::string_view name) {
  for (const char it : name) {
    if (!IsTokenCharacter(it))
      return false;
  }
  return !name.empty();
}

bool IsValue(std::string_view value) {
  for (const char it : value) {
    if (it == '\r' || it == '\n' || it == '\0')
      return false;
  }
  return true;
}

}  // namespace

std::optional<std::string_view> FindSoupHeader(SoupMessageHeaders* headers,
                                               std::string_view name) {
  SoupMessageHeadersIter it;
  const char* field_name = nullptr;
  const char* field_value = nullptr;
  soup_message_headers_iter_init(&it, headers);
  while (soup_message_headers_iter_next(&it, &field_name, &field_value)) {
    const std::string_view field(field_name);
    if (field.size() == name.size() &&
        g_ascii_strncasecmp(field_name, name.data(), name.size()) == 0) {
      return field_value;
    }
  }
  return std::nullopt;
}

HttpHeaders CopySoupHeaders(SoupMessageHeaders* headers) {
  HttpHeaders copy;
  SoupMessageHeadersIter it;
  const char* name = nullptr;
  const char* value = nullptr;
  soup_message_headers_iter_init(&it, headers);
  while (soup_message_headers_iter_next(&it, &name, &value))
    copy.push_back({name, value});
  return copy;
}

void AppendSoupHeader(SoupMessageHeaders* headers,
                      std::string_view name,
                      std::string_view value) {
  if (!IsName(name) || !IsValue(value))
    return;
  soup_message_headers_append(headers, std::string(name).c_str(),
                              std::string(value).c_str());
}

void AppendSoupHeaders(SoupMessageHeaders* headers, const HttpHeaders& fields) {
  for (const HttpHeader& it : fields)
    AppendSoupHeader(headers, it.name, it.value);
}

}  // namespace briarlead
