#ifndef BRIARLEAD_CLAIMS_BOUNDED_ARCHIVE_H_
#define BRIARLEAD_CLAIMS_BOUNDED_ARCHIVE_H_

// Cereal archives for the codecs of this module and of the modules that depend
// on it. Include this header only in .cc files and in headers that are internal
// to a codec, so that cereal stays out of public headers.

#include <bit>
#include <cereal/cereal.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cstring>
#include <exception>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include "briarlead_core/error.h"

namespace briarlead {

static_assert(std::endian::native == std::endian::little,
              "the codecs write the machine's own byte order");

/// Output archive that appends to a string. Numbers are little-endian.
class StringOutputArchive
    : public cereal::OutputArchive<StringOutputArchive,
                                   cereal::AllowEmptyClassElision> {
 public:
  explicit StringOutputArchive(std::string& out)
      : OutputArchive(this), out_(out) {}

  void SaveBytes(const void* data, std::size_t size) {
    out_.append(static_cast<const char*>(data), size);
  }

 private:
  std::string& out_;
};

/// Input archive that reads from a string view. A length is checked against the
/// number of remaining bytes before memory is allocated for it. Malformed input
/// throws cereal::Exception.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  explicit BoundedInputArchive(std::string_view in)
      : InputArchive(this), in_(in) {}

  void LoadBytes(void* data, std::size_t size) {
    Require(size);
    std::memcpy(data, in_.data(), size);
    in_.remove_prefix(size);
  }

  /// Throws cereal::Exception unless `size` bytes remain.
  void Require(std::size_t size) const {
    if (size > in_.size())
      throw cereal::Exception("message ends early");
  }

  [[nodiscard]] bool AtEnd() const { return in_.empty(); }

 private:
  std::string_view in_;
};

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(StringOutputArchive& archive, const T& value) {
  archive.SaveBytes(&value, sizeof(value));
}

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, T& value) {
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t byte = 0;
    archive.LoadBytes(&byte, sizeof(byte));
    if (byte > 1)
      throw cereal::Exception("not a truth value");
    value = byte == 1;
  } else {
    archive.LoadBytes(&value, sizeof(value));
  }
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(StringOutputArchive& archive,
                               const cereal::BinaryData<T>& data) {
  archive.SaveBytes(data.data, static_cast<std::size_t>(data.size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,
                               cereal::BinaryData<T>& data) {
  archive.LoadBytes(data.data, static_cast<std::size_t>(data.size));
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(StringOutputArchive& archive,
                               const cereal::SizeTag<T>& tag) {
  const auto size = static_cast<std::uint32_t>(tag.size);
  archive.SaveBytes(&size, sizeof(size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,
                               cereal::SizeTag<T>& tag) {
  std::uint32_t size = 0;
  archive.LoadBytes(&size, sizeof(size));
  archive.Require(size);
  tag.size = size;
}

template <typename Archive, typename T>
requires std::is_same_v<Archive, StringOutputArchive> ||
    std::is_same_v<Archive, BoundedInputArchive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive,
                                    cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

/// Serialises an enumeration whose values run from zero to `last`.
template <typename Archive, typename Enum>
void SerializeEnum(Archive& archive,
                   Enum& value,
                   std::type_identity_t<Enum> last) {
  if constexpr (Archive::is_loading::value) {
    std::uint8_t number = 0;
    archive(number);
    if (number > static_cast<std::uint8_t>(last))
      throw cereal::Exception("enumeration value out of range");
    value = static_cast<Enum>(number);
  } else {
    archive(static_cast<std::uint8_t>(value));
  }
}

/// Serialises a container that has `push_back`, one element at a time. A count
/// that is too large then fails at the end of the input, and no memory is
/// allocated for it in advance.
template <typename Archive, typename Container>
void SerializeEach(Archive& archive, Container& items) {
  if constexpr (Archive::is_loading::value) {
    std::uint32_t size = 0;
    archive(size);
    items.clear();
    for (std::uint32_t i = 0; i < size; ++i) {
      typename std::remove_cv_t<Container>::value_type item;
      archive(item);
      items.push_back(std::move(item));
    }
  } else {
    archive(static_cast<std::uint32_t>(items.size()));
    for (const auto& item : items)
      archive(item);
  }
}

/// Returns `value` in encoded form.
template <typename T>
std::string EncodeBytes(const T& value) {
  std::string out;
  StringOutputArchive archive(out);
  archive(value);
  return out;
}

/// Decodes `bytes` as a `T`. Errors: kCorrupt when `bytes` is not the encoding
/// of exactly one.
template <typename T>
Result<T> DecodeBytes(std::string_view bytes) {
  try {
    T value{};
    BoundedInputArchive archive(bytes);
    archive(value);
    if (!archive.AtEnd())
      return Fail(ErrorCode::kCorrupt, "bytes after the end of the message");
    return value;
  } catch (const std::exception& ex) {
    return Fail(ErrorCode::kCorrupt, ex.what());
  }
}

}  // namespace briarlead

CEREAL_REGISTER_ARCHIVE(briarlead::StringOutputArchive)
CEREAL_REGISTER_ARCHIVE(briarlead::BoundedInputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(briarlead::BoundedInputArchive,
                            briarlead::StringOutputArchive)

#endif  // BRIARLEAD_CLAIMS_BOUNDED_ARCHIVE_H_
