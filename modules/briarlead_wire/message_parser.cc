#include "briarlead_wire/message_parser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

namespace briarlead {

namespace {

namespace http = boost::beast::http;
using BeastView = boost::beast::string_view;
using BeastError = boost::beast::error_code;

std::string_view View(BeastView text) {
  return {text.data(), text.size()};
}

constexpr int kVersionWithChunks = 11;
/// The first and the last status code (RFC 9110, 15).
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;
constexpr int kSwitchingProtocols = 101;
constexpr std::string_view kStatusLineStart = "HTTP/1.";
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
/// Characters that stand in no host name, address or port.
constexpr std::string_view kNotInHost = "/\\?#@ \t\"<>";

/// Returns whether every field called `name` satisfies `test`.
template <typename Test>
bool AllFields(const HeaderFields& fields, std::string_view name, Test test) {
  return std::all_of(fields.items().begin(), fields.items().end(),
                     [&](const HeaderField& it) {
                       return !SameHeaderName(it.name, name) || test(it.value);
                     });
}

bool NamesOneHost(const HeaderFields& fields) {
  std::size_t n = 0;
  return AllFields(fields, "Host", [&n](std::string_view value) {
    return ++n == 1 &&
           value.find_first_of(kNotInHost) == std::string_view::npos;
  });
}

bool HasReadableEncoding(const HeaderFields& fields) {
  return AllFields(fields, "Transfer-Encoding", [](std::string_view value) {
    return SameHeaderName(value, "chunked");
  });
}

/// Calls `test` with each line of the head in `bytes`, which begin with a line,
/// up to the empty one, the last perhaps without its end. Returns whether one
/// satisfies it.
template <typename Test>
bool AnyLine(std::string_view bytes, Test test) {
  while (!bytes.empty() && !bytes.starts_with(kLineEnd)) {
    const std::size_t end = bytes.find('\n');
    const bool is_whole = end != std::string_view::npos;
    const std::size_t size = is_whole ? end + 1 : bytes.size();
    if (test(bytes.substr(0, size)))
      return true;
    bytes.remove_prefix(size);
  }
  return false;
}

/// Returns whether `line` ends in LF alone.
bool EndsInBareLineFeed(std::string_view line) {
  return line.ends_with('\n') && !line.ends_with(kLineEnd);
}

/// Returns whether `line` goes on with the field above it (obsolete line
/// folding), whatever field it was meant to be.
bool IsFolded(std::string_view line) {
  return line.starts_with(' ') || line.starts_with('\t');
}

/// Returns whether a status line may begin with `bytes`, or they with one.
bool MayBeStatusLine(std::string_view bytes) {
  const std::size_t n = std::min(bytes.size(), kStatusLineStart.size());
  return bytes.substr(0, n) == kStatusLineStart.substr(0, n);
}

/// Returns whether a request line may begin with `bytes`, or they with one.
bool MayBeRequestLine(std::string_view bytes) {
  return bytes.empty() || IsToken(bytes.substr(0, bytes.find(' ')));
}

/// The parts of a Beast parser that requests and responses share.
template <bool kIsRequest, typename Head>
class HeadAndBodyParser : public http::basic_parser<kIsRequest> {
 public:
  explicit HeadAndBodyParser(const MessageLimits& limits)
      : max_fields_(limits.max_fields), max_head_bytes_(limits.max_head_bytes) {
    this->header_limit(limits.max_head_bytes);
    this->body_limit(limits.max_body_bytes);
    this->eager(true);
  }

  std::size_t Take(std::string_view bytes) {
    const bool is_in_head = !this->is_header_done();
    if (is_in_head) {
      if (AnyLine(bytes, EndsInBareLineFeed))
        Fail();
      bytes = bytes.substr(0, ReadableHeadSize(bytes));
    }
    std::size_t taken = 0;
    if (failed())
      return taken;
    while (taken < bytes.size() && !this->is_done()) {
      BeastError ec;
      const std::size_t n = this->put(
          boost::asio::buffer(bytes.data() + taken, bytes.size() - taken), ec);
      taken += n;
      if (ec == http::error::need_more)
        break;
      if (ec) {
        failure_ = StateOf(ec);
        break;
      }
      if (n == 0)
        break;
    }
    if (is_in_head)
      head_bytes_ += taken;
    return taken;
  }

  void TakeEnd() {
    if (!this->is_header_done()) {
      Fail();
      return;
    }
    BeastError ec;
    this->put_eof(ec);
    if (ec || !this->is_done())
      Fail();
  }

  [[nodiscard]] ParseState state() const {
    if (failed())
      return failure_;
    if (this->is_done())
      return ParseState::kComplete;
    return this->is_header_done() ? ParseState::kBody : ParseState::kHead;
  }

  Head head;
  std::string body;

 protected:
  /// Ends the message as invalid.
  void Fail() { failure_ = ParseState::kInvalid; }
  [[nodiscard]] bool failed() const { return failure_ != ParseState::kHead; }

  void on_header_impl(BeastError& /*ec*/) override {
    head.keeps_connection = this->keep_alive();
  }

 private:
  /// Returns how much of `bytes` may be handed to Beast while the head isn't
  /// whole: lines that are, and the byte behind them, which it needs to see
  /// that the last field isn't folded. Given more of a line than that, it
  /// judges no line before the head's end has come, and its verdict would
  /// depend on how the bytes are cut.
  [[nodiscard]] std::size_t ReadableHeadSize(std::string_view bytes) const {
    // Beast refuses a head that is too long.
    if (bytes.find(kHeadEnd) != std::string_view::npos ||
        bytes.starts_with(kLineEnd) ||
        head_bytes_ + bytes.size() >= max_head_bytes_) {
      return bytes.size();
    }
    const std::size_t end = bytes.rfind(kLineEnd);
    if (end == std::string_view::npos)
      return 0;
    const std::size_t lines = end + kLineEnd.size();
    if (lines < bytes.size())
      return lines + 1;
    // The first line of a head needs no byte behind it, a field does.
    const std::size_t before = bytes.rfind(kLineEnd, end - 1);
    if (before != std::string_view::npos)
      return before + kLineEnd.size() + 1;
    return head_bytes_ == 0 ? lines : 0;
  }

  static ParseState StateOf(const BeastError& ec) {
    if (ec == http::error::header_limit)
      return ParseState::kHeadTooLarge;
    if (ec == http::error::body_limit)
      return ParseState::kBodyTooLarge;
    return ParseState::kInvalid;
  }

  void on_field_impl(http::field /*name*/,
                     BeastView name,
                     BeastView value,
                     BeastError& ec) override {
    if (++fields_ > max_fields_)
      ec = http::error::header_limit;
    else if (!this->is_header_done())
      head.fields.Add(View(name), View(value));
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                         BeastError& /*ec*/) override {}

  std::size_t on_body_impl(BeastView bytes, BeastError& /*ec*/) override {
    body.append(bytes.data(), bytes.size());
    return bytes.size();
  }

  void on_chunk_header_impl(std::uint64_t /*size*/,
                            BeastView /*extensions*/,
                            BeastError& /*ec*/) override {}

  std::size_t on_chunk_body_impl(std::uint64_t /*left*/,
                                 BeastView bytes,
                                 BeastError& /*ec*/) override {
    body.append(bytes.data(), bytes.size());
    return bytes.size();
  }

  void on_finish_impl(BeastError& /*ec*/) override {}

  std::size_t max_fields_;
  std::size_t max_head_bytes_;
  std::size_t head_bytes_ = 0;  ///< That Beast has taken.
  std::size_t fields_ = 0;      ///< Of the head and the trailer.
  ParseState failure_ = ParseState::kHead;
};

}  // namespace

class RequestParser::Impl : public HeadAndBodyParser<true, RequestHead> {
 public:
  using HeadAndBodyParser::HeadAndBodyParser;

  std::size_t Take(std::string_view bytes) {
    const bool has_request_line = !head.method.empty();
    if (!has_request_line && !MayBeRequestLine(bytes))
      Fail();
    return HeadAndBodyParser::Take(bytes);
  }

 private:
  void on_request_impl(http::verb /*method*/,
                       BeastView method,
                       BeastView target,
                       int version,
                       BeastError& /*ec*/) override {
    head.method = View(method);
    head.target = View(target);
    head.takes_chunks = version >= kVersionWithChunks;
  }

  void on_header_impl(BeastError& ec) override {
    HeadAndBodyParser::on_header_impl(ec);
    if (!NamesOneHost(head.fields))
      ec = http::error::bad_value;
    else if (!HasReadableEncoding(head.fields))
      ec = http::error::bad_transfer_encoding;
  }

  void on_response_impl(int /*status*/,
                        BeastView /*reason*/,
                        int /*version*/,
                        BeastError& /*ec*/) override {}
};

class ResponseParser::Impl : public HeadAndBodyParser<false, ResponseHead> {
 public:
  using HeadAndBodyParser::HeadAndBodyParser;

  std::size_t Take(std::string_view bytes) {
    const bool has_status_line = head.status != 0;
    // Beast joins a folded line with the field above it.
    if (!this->is_header_done() &&
        ((!has_status_line && !MayBeStatusLine(bytes)) ||
         AnyLine(bytes, IsFolded))) {
      Fail();
    }
    return HeadAndBodyParser::Take(bytes);
  }

 private:
  void on_request_impl(http::verb /*method*/,
                       BeastView /*method_text*/,
                       BeastView /*target*/,
                       int /*version*/,
                       BeastError& /*ec*/) override {}

  void on_response_impl(int status,
                        BeastView reason,
                        int version,
                        BeastError& ec) override {
    if (status < kFirstStatus || status > kLastStatus ||
        status == kSwitchingProtocols) {
      ec = http::error::bad_status;
      return;
    }
    head.status = status;
    head.reason = View(reason);
    may_have_encoding_ = version >= kVersionWithChunks;
  }

  void on_header_impl(BeastError& ec) override {
    HeadAndBodyParser::on_header_impl(ec);
    if (const auto length = this->content_length())
      head.content_length = *length;
    const bool is_encoded = head.fields.Find("Transfer-Encoding").has_value();
    if (!HasReadableEncoding(head.fields) ||
        (is_encoded && !may_have_encoding_))
      ec = http::error::bad_transfer_encoding;
  }

  bool may_have_encoding_ = true;
};

RequestParser::RequestParser(const MessageLimits& limits)
    : impl_(std::make_unique<Impl>(limits)) {}

RequestParser::~RequestParser() = default;

std::size_t RequestParser::Feed(std::string_view bytes) {
  return impl_->Take(bytes);
}

ParseState RequestParser::state() const {
  return impl_->state();
}

RequestHead& RequestParser::head() {
  return impl_->head;
}

std::string& RequestParser::body() {
  return impl_->body;
}

std::optional<std::uint64_t> RequestParser::content_length() const {
  if (impl_->chunked())
    return std::nullopt;
  const auto length = impl_->content_length();
  return length ? *length : 0;
}

bool RequestParser::expects_continue() {
  const auto value = impl_->head.fields.Find("Expect");
  return value.has_value() && SameHeaderName(*value, "100-continue");
}

ResponseParser::ResponseParser(const MessageLimits& limits,
                               ResponseBody expected)
    : impl_(std::make_unique<Impl>(limits)) {
  impl_->skip(expected == ResponseBody::kNone);
}

ResponseParser::~ResponseParser() = default;

std::size_t ResponseParser::Feed(std::string_view bytes) {
  return impl_->Take(bytes);
}

void ResponseParser::FeedEnd() {
  impl_->TakeEnd();
}

ParseState ResponseParser::state() const {
  return impl_->state();
}

bool ResponseParser::ends_with_connection() const {
  return state() == ParseState::kBody && impl_->need_eof();
}

ResponseHead& ResponseParser::head() {
  return impl_->head;
}

std::string ResponseParser::TakeBody() {
  return std::exchange(impl_->body, {});
}

}  // namespace briarlead
