#include "briarlead_wire/http_head.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace briarlead {

namespace {

constexpr std::array<std::string_view, 8> kHopByHopNames = {
    "Connection", "Keep-Alive", "Proxy-Connection",  "TE",
    "Trailer",    "Upgrade",    "Transfer-Encoding", "Content-Length"};

constexpr std::string_view kTokenSymbols = "!#$%&'*+-.^_`|~";

bool IsTokenCharacter(char c) {
  const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool digit = c >= '0' && c <= '9';
  return letter || digit || kTokenSymbols.find(c) != std::string_view::npos;
}

bool EndsLine(char c) {
  return c == '\r' || c == '\n' || c == '\0';
}

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos)
    return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

void AppendFields(std::string& out, const HeaderFields& fields) {
  for (const HeaderField& it : fields.items()) {
    out += it.name;
    out += ": ";
    out += it.value;
    out += "\r\n";
  }
}

}  // namespace

bool SameHeaderName(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return ToLower(a) == ToLower(b); });
}

void HeaderFields::Add(std::string_view name, std::string_view value) {
  items_.push_back({std::string(name), std::string(value)});
}

std::optional<std::string_view> HeaderFields::Find(
    std::string_view name) const {
  for (const HeaderField& it : items_) {
    if (SameHeaderName(it.name, name))
      return it.value;
  }
  return std::nullopt;
}

void HeaderFields::Remove(std::string_view name) {
  std::erase_if(items_, [name](const HeaderField& it) {
    return SameHeaderName(it.name, name);
  });
}

void HeaderFields::Set(std::string_view name, std::string_view value) {
  Remove(name);
  Add(name, value);
}

bool IsToken(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

bool IsWritableField(const HeaderField& field) {
  return IsToken(field.name) &&
         std::none_of(field.value.begin(), field.value.end(), EndsLine);
}

void RemoveHopByHopFields(HeaderFields& fields) {
  std::vector<std::string> named;
  for (const HeaderField& it : fields.items()) {
    if (!SameHeaderName(it.name, "Connection"))
      continue;
    std::string_view rest = it.value;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      named.emplace_back(Trim(rest.substr(0, comma)));
      rest = comma == std::string_view::npos ? std::string_view()
                                             : rest.substr(comma + 1);
    }
  }
  for (const std::string& it : named)
    fields.Remove(it);
  for (const std::string_view it : kHopByHopNames)
    fields.Remove(it);
}

std::string_view RequestHead::path() const {
  const std::string_view text = target;
  return text.substr(0, text.find('?'));
}

std::string_view RequestHead::query() const {
  const std::string_view text = target;
  const std::size_t mark = text.find('?');
  return mark == std::string_view::npos ? std::string_view()
                                        : text.substr(mark + 1);
}

std::string WriteRequestHead(const RequestHead& head, std::size_t body_bytes) {
  std::string out = fmt::format("{} {} HTTP/1.1\r\n", head.method, head.target);
  AppendFields(out, head.fields);
  if (body_bytes > 0 || (head.method != "GET" && head.method != "HEAD"))
    out += fmt::format("Content-Length: {}\r\n", body_bytes);
  out += "\r\n";
  return out;
}

std::string WriteResponseHead(int status,
                              std::string_view reason,
                              const HeaderFields& fields,
                              BodyFraming framing,
                              std::uint64_t length,
                              bool keeps_connection) {
  std::string out = fmt::format("HTTP/1.1 {} {}\r\n", status, reason);
  AppendFields(out, fields);
  if (framing == BodyFraming::kChunked)
    out += "Transfer-Encoding: chunked\r\n";
  else if (framing == BodyFraming::kLength)
    out += fmt::format("Content-Length: {}\r\n", length);
  if (!keeps_connection)
    out += "Connection: close\r\n";
  out += "\r\n";
  return out;
}

std::string WriteChunk(std::string_view bytes) {
  if (bytes.empty())
    return {};
  return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

std::string_view ReasonOf(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 202:
      return "Accepted";
    case 204:
      return "No Content";
    case 307:
      return "Temporary Redirect";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 422:
      return "Unprocessable Content";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Response";
  }
}

}  // namespace briarlead
