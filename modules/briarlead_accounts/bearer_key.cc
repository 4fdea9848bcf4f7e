#include "briarlead_accounts/bearer_key.h"

#include <glib.h>

#include <algorithm>

namespace briarlead {

namespace {

constexpr std::string_view kScheme = "bearer";
constexpr std::string_view kBlanks = " \t";

std::string_view Trim(std::string_view text) {
  text.remove_prefix(std::min(text.find_first_not_of(kBlanks), text.size()));
  return text.substr(0, text.find_last_not_of(kBlanks) + 1);
}

bool IsVisibleAscii(char c) {
  return g_ascii_isgraph(c) != FALSE;
}

}  // namespace

std::string_view ToString(KeyForm form) {
  switch (form) {
    case KeyForm::kPresent:
      return "key_present";
    case KeyForm::kMissing:
      return "key_missing";
    case KeyForm::kRepeated:
      return "key_repeated";
    case KeyForm::kEmpty:
      return "key_empty";
    case KeyForm::kTooLong:
      return "key_too_long";
    case KeyForm::kMalformed:
      return "key_malformed";
  }
  return "";
}

PresentedKey ReadBearerKey(std::span<const std::string_view> values) {
  if (values.empty())
    return {KeyForm::kMissing, {}};
  if (values.size() > 1)
    return {KeyForm::kRepeated, {}};
  if (values.front().size() > kMaxAuthorizationBytes)
    return {KeyForm::kTooLong, {}};
  const std::string_view value = Trim(values.front());
  if (value.empty())
    return {KeyForm::kEmpty, {}};
  const std::string_view scheme = value.substr(0, value.find(' '));
  const std::string_view key = Trim(value.substr(scheme.size()));
  const bool is_bearer =
      scheme.size() == kScheme.size() &&
      g_ascii_strncasecmp(scheme.data(), kScheme.data(), kScheme.size()) == 0;
  if (!is_bearer || key.empty() || !std::ranges::all_of(key, IsVisibleAscii))
    return {KeyForm::kMalformed, {}};
  return {KeyForm::kPresent, DigestOfKey(key)};
}

bool IsKey(const PresentedKey& presented,
           const std::optional<KeyDigest>& expected) {
  return presented.form == KeyForm::kPresent && expected.has_value() &&
         EqualInConstantTime(presented.digest, *expected);
}

}  // namespace briarlead
