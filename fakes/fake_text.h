#ifndef FAKES_FAKE_TEXT_H_
#define FAKES_FAKE_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace briarlead {

/// Returns the token at `offset` of the answer to `prompt`: the same for every
/// engine, so that a caller can check that it got its own whole answer.
std::string FakeToken(std::string_view prompt, std::uint32_t offset);

/// Returns the first `tokens` tokens of the answer to `prompt`.
std::string FakeAnswer(std::string_view prompt, std::uint32_t tokens);

}  // namespace briarlead

#endif  // FAKES_FAKE_TEXT_H_
