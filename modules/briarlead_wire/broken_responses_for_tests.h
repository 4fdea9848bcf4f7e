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

inline constexpr std::string_view kOk = "HTTP/1.1 200 OK";

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

/// Returns responses with a line in their head whose field name is no token
/// (RFC 9110, 5.6.2): a recipient could take the line for another field, or for
/// none. Their heads begin with `fields`.
inline std::vector<BrokenResponse> ResponsesWithABadFieldName(
    std::string_view fields = "") {
  using namespace std::string_literals;
  const std::string long_name(50, 'n');
  const std::vector<BrokenResponse> lines = {
      {"blank in a name", "Bad Name: x"},
      {"tab in a name", "Bad\tName: x"},
      {"NUL in a name", "Bad\0Name: x"s},
      {"control byte in a name", "Bad\x01Name: x"},
      {"vertical tab in a name", "Bad\x0bName: x"},
      {"CR in a name", "Bad\rName: x"},
      {"LF in a name", "Bad\nName: x"},
      {"DEL in a name", "Bad\x7fName: x"},
      {"byte above 7f in a name", "Bad\xe4Name: x"},
      {"control byte in a long name", long_name + "\x02" + long_name + ": x"},
      {"blank in a long name", long_name + " " + long_name + ": x"},
      {"blank before the colon", "Bad-Name : x"},
      {"blank before the colon of a length", "Content-Length : 2"},
      {"control byte before the colon of a length", "Content-Length\x01: 2"},
      {"blank in the name of a length", "Content Length: 2"},
      {"no name", ": x"},
      {"no colon", "Bad-Name"},
      {"blank at the start of a line", " Bad-Name: x"},
      {"tab at the start of a line", "\tBad-Name: x"},
      {"blank at the start of a length", " Content-Length: 2"}};
  std::vector<BrokenResponse> all;
  for (const BrokenResponse& it : lines) {
    const std::string line = it.bytes + "\r\n";
    const std::string first = line + std::string(fields);
    const std::string last = std::string(fields) + "Server: s\r\n" + line;
    all.push_back({it.name + ", first", ResponseOf(kOk, first)});
    all.push_back({it.name + ", last", ResponseOf(kOk, last)});
    all.push_back({it.name + ", without a length",
                   std::string(kOk) + "\r\n" + last + "\r\nok"});
  }
  return all;
}

/// Returns responses whose transfer encoding can't be read, or can be read in
/// two ways (RFC 9112, 6.1 and 6.3): their bodies would not be the server's.
/// Their heads begin with `fields`.
inline std::vector<BrokenResponse> ResponsesWithABadEncoding(
    std::string_view fields = "") {
  const std::string chunks = "\r\n\r\n2\r\nok\r\n0\r\n\r\n";
  std::vector<BrokenResponse> all;
  for (const char* it :
       {"Transfer-Encoding: gzip", "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked, gzip",
        "Transfer-Encoding: chunked, chunked", "Transfer-Encoding: identity",
        "Transfer-Encoding: chunked;a=b", "Transfer-Encoding:",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip\r\nContent-Length: 2",
        "Transfer-Encoding: chunked\r\nContent-Length: 2",
        "Content-Length: 2\r\nTransfer-Encoding: chunked",
        "Content-Length: 2\r\nContent-Length: 12"}) {
    all.push_back(
        {it, std::string(kOk) + "\r\n" + std::string(fields) + it + chunks});
  }
  all.push_back(
      {"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + std::string(fields) +
                                 "Transfer-Encoding: chunked" + chunks});
  return all;
}

/// Returns responses that switch to a protocol, which no request asked for (RFC
/// 9110, 15.2.2): what follows is in that protocol, whatever it looks like.
inline std::vector<BrokenResponse> ResponsesThatSwitchProtocols(
    std::string_view fields = "") {
  const std::string head = "HTTP/1.1 101 Switching Protocols\r\n" +
                           std::string(fields) +
                           "Connection: upgrade\r\nUpgrade: x\r\n\r\n";
  return {{"101", head}, {"101 before a response", head + ResponseOf(kOk, "")}};
}

/// Returns heads with a line that ends in LF alone, without the CRLF behind
/// which they would be whole. Their heads begin with `fields`.
inline std::vector<BrokenResponse> ResponsesWithABareLineFeed(
    std::string_view fields = "") {
  const std::string line_end = "\r\n";
  const std::string start =
      std::string(kOk) + line_end + std::string(fields) + "Server: s";
  return {{"LF behind the status line", std::string(kOk) + "\n"},
          {"LF throughout", std::string(kOk) + "\nContent-Length: 2\n\nok"},
          {"LF behind a field", start + "\nContent-Length: 2" + line_end},
          {"LF for the empty line", start + line_end + "\nok"}};
}

/// Returns bytes that begin no status line, and may be all that comes.
inline std::vector<BrokenResponse> BytesThatBeginNoResponse() {
  std::vector<BrokenResponse> all;
  for (const char* it :
       {"x", "ok", "garbage", "http/1.1 200 OK", "HTTP/2 200", "ICY 200 OK",
        "\r\n", " HTTP/1.1", "HTTPS", "\x15\x03\x03"}) {
    all.push_back({"bytes: " + std::string(it), it});
  }
  return all;
}

/// Returns all of the above.
inline std::vector<BrokenResponse> AllBrokenResponses(
    std::string_view fields = "") {
  std::vector<BrokenResponse> all;
  for (auto& some :
       {ResponsesWithoutAStatus(fields), ResponsesWithABadFieldName(fields),
        ResponsesWithABadEncoding(fields), ResponsesThatSwitchProtocols(fields),
        ResponsesWithABareLineFeed(fields), BytesThatBeginNoResponse()}) {
    all.insert(all.end(), some.begin(), some.end());
  }
  return all;
}

}  // namespace briarlead

#endif  // BRIARLEAD_WIRE_BROKEN_RESPONSES_FOR_TESTS_H_
