#include "fakes/fake_text.h"

#include <fmt/format.h>

namespace briarlead {

namespace {

constexpr std::uint64_t kFnvOffset = 14695981039346656037U;
constexpr std::uint64_t kFnvPrime = 1099511628211U;
constexpr std::uint64_t kMixer = 0x9e3779b97f4a7c15U;

std::uint64_t HashOf(std::string_view text) {
  std::uint64_t hash = kFnvOffset;
  for (const char it : text)
    hash = (hash ^ static_cast<unsigned char>(it)) * kFnvPrime;
  return hash;
}

std::string TokenOf(std::uint64_t prompt_hash, std::uint32_t offset) {
  std::uint64_t mixed = (prompt_hash ^ offset) * kMixer;
  mixed ^= mixed >> 29U;
  return fmt::format(" {:04x}", mixed & 0xffffU);
}

}  // namespace

std::string FakeToken(std::string_view prompt, std::uint32_t offset) {
  return TokenOf(HashOf(prompt), offset);
}

std::string FakeAnswer(std::string_view prompt, std::uint32_t tokens) {
  const std::uint64_t hash = HashOf(prompt);
  std::string answer;
  for (std::uint32_t i = 0; i < tokens; ++i)
    answer += TokenOf(hash, i);
  return answer;
}

}  // namespace briarlead
