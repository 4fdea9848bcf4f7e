#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "briarlead_http/engine_messages.h"

namespace briarlead {

namespace {

constexpr std::string_view kDoneData = "[DONE]";
constexpr int kMaxDepth = 32;
// Depths of {"choices":[{...}],...}.
constexpr int kEventDepth = 1;
constexpr int kChoicesDepth = 2;
constexpr int kChoiceDepth = 3;

/// Takes one event as it is parsed, without a document in between: every token
/// of every stream passes here.
class EventReader : public nlohmann::json_sax<nlohmann::json> {
 public:
  [[nodiscard]] bool has_choice() const { return has_choice_; }
  [[nodiscard]] std::uint64_t offset() const { return offset_; }
  DecodeEvent& event() { return event_; }

  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return true;
  }
  bool binary(binary_t& /*value*/) override { return true; }

  bool number_unsigned(number_unsigned_t value) override {
    if (depth_ == kEventDepth && key_ == "offset")
      offset_ = value;
    return true;
  }

  bool string(string_t& value) override {
    if (depth_ != kChoiceDepth || !in_choices_ || choices_begun_ != 1)
      return true;
    if (key_ == "text")
      event_.text = std::move(value);
    else if (key_ == "finish_reason")
      event_.finish_reason = std::move(value);
    return true;
  }

  bool key(string_t& value) override {
    key_ = std::move(value);
    return true;
  }

  bool start_object(std::size_t /*size*/) override {
    if (depth_ == kChoicesDepth && in_choices_) {
      ++choices_begun_;
      has_choice_ = true;
    }
    return ++depth_ <= kMaxDepth;
  }

  bool start_array(std::size_t /*size*/) override {
    if (depth_ == 0)
      return false;
    in_choices_ = in_choices_ || (depth_ == kEventDepth && key_ == "choices");
    return ++depth_ <= kMaxDepth;
  }

  bool end_object() override {
    --depth_;
    return true;
  }

  bool end_array() override {
    --depth_;
    in_choices_ = in_choices_ && depth_ > kEventDepth;
    return true;
  }

  bool parse_error(std::size_t /*place*/,
                   const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

 private:
  DecodeEvent event_;
  std::string key_;
  std::uint64_t offset_ = 0;
  int depth_ = 0;
  int choices_begun_ = 0;
  bool in_choices_ = false;
  bool has_choice_ = false;
};

}  // namespace

Result<DecodeEvent> ParseDecodeEvent(std::string_view data) {
  if (data == kDoneData)
    return DecodeEvent{.done = true};
  EventReader reader;
  if (!nlohmann::json::sax_parse(data, &reader))
    return Fail(ErrorCode::kInvalidArgument, "not a JSON object");
  if (!reader.has_choice()) {
    return Fail(ErrorCode::kInvalidArgument,
                "choices: expected an array with one object");
  }
  if (reader.offset() > std::numeric_limits<std::uint32_t>::max())
    return Fail(ErrorCode::kInvalidArgument, "offset: expected a count");
  reader.event().offset = static_cast<std::uint32_t>(reader.offset());
  return std::move(reader.event());
}

}  // namespace briarlead
