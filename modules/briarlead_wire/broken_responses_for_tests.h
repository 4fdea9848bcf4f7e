#ifndef BRIARLEAD_WIRE_BROKEN_RESPONSES_FOR_TESTS_H_
#define BRIARLEAD_WIRE_BROKEN_RESPONSES_FOR_TESTS_H_

#include <string>
#include <string_view>
#include <vector>

namespace briarlead {

/// Bytes that are no HTTP/1.1 response, though they look like one.
struct BrokenResponse {
  std::string name;  ///< What is wrong with them.
  std::string bytes;
};

/// Returns a response with a body of two bytes, whose status line is
/// `status_line` and whose head begins with `fields`, each with its line end.
inline std::string ResponseOf(std::string_view status_line,
                              std::string_view fields) {
  return std::string(status_line) + "\r\n" + std::string(fields) +
         "Content-Length: 2\r\n\r\nok";
}

/// Returns responses whose status is none: RFC 9110, 15, has 100 to 599.
/// Their heads begin with `fields`.
inline std::vector<BrokenResponse> ResponsesWithoutAStatus(
    std::string_view fields = "") {
  std::vector<BrokenResponse> all;
  for (const char* it : {"000", "001", "099", "600", "999", "0", "20", "2000",
                         "-20", "2x0", "OK"}) {
    all.push_back({"status " + std::string(it),
                   ResponseOf("HTTP/1.1 " + std::string(it) + " X", fields)});
  }
  return all;
}

}  // namespace briarlead

#endif  // BRIARLEAD_WIRE_BROKEN_RESPONSES_FOR_TESTS_H_
