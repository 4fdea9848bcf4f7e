#include "briarlead_http/sse_parser.h"

namespace briarlead {

namespace {

/// Returns the value of a "name:value" line without the one leading space.
std::string_view ValueAfter(std::string_view line, std::size_t colon) {
  if (colon == std::string_view::npos)
    return {};
  std::string_view value = line.substr(colon + 1);
  if (value.starts_with(' '))
    value.remove_prefix(1);
  return value;
}

}  // namespace

bool SseParser::WithinLimit(std::size_t more) const {
  return partial_line_.size() + data_.size() + more <= max_event_bytes_;
}

Result<void> SseParser::Feed(std::string_view part, const Handler& handler) {
  if (failed_)
    return Fail(ErrorCode::kTooLarge, "event stream refused before");
  while (!part.empty()) {
    if (skip_line_feed_ && part.front() == '\n')
      part.remove_prefix(1);
    skip_line_feed_ = false;
    const std::size_t end = part.find_first_of("\r\n");
    const std::string_view piece = part.substr(0, end);
    if (!WithinLimit(piece.size())) {
      failed_ = true;
      return Fail(
          ErrorCode::kTooLarge,
          "event of more than " + std::to_string(max_event_bytes_) + " bytes");
    }
    if (end == std::string_view::npos) {
      partial_line_ += piece;
      break;
    }
    skip_line_feed_ = part[end] == '\r';
    part.remove_prefix(end + 1);
    if (partial_line_.empty()) {
      TakeLine(piece, handler);
      continue;
    }
    partial_line_ += piece;
    const std::string line = std::move(partial_line_);
    partial_line_.clear();
    TakeLine(line, handler);
  }
  return outcome::success();
}

void SseParser::TakeLine(std::string_view line, const Handler& handler) {
  if (line.empty()) {
    if (has_data_)
      handler({name_, data_});
    name_.clear();
    data_.clear();
    has_data_ = false;
    return;
  }
  const std::size_t colon = line.find(':');
  const std::string_view field = line.substr(0, colon);
  const std::string_view value = ValueAfter(line, colon);
  if (field == "data") {
    if (has_data_)
      data_ += '\n';
    data_ += value;
    has_data_ = true;
  } else if (field == "event") {
    name_ = value;
  }
}

bool SseParser::at_event_boundary() const {
  return partial_line_.empty() && !has_data_;
}

}  // namespace briarlead
