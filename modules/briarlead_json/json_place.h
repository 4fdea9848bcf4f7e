#ifndef BRIARLEAD_JSON_JSON_PLACE_H_
#define BRIARLEAD_JSON_JSON_PLACE_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace briarlead {

/// Location of a value: its file, and its path inside the document, for example
/// "plans[2].uses[0].rank". The path of the whole document is empty.
struct JsonPlace {
  std::string file;
  std::string path;

  /// Returns the place of the member `key` of the object at this place. A key
  /// that has other characters than ASCII letters, digits, '_' and '-', or more
  /// than 64 bytes, is truncated to 64 bytes and quoted.
  [[nodiscard]] JsonPlace Member(std::string_view key) const;

  /// Returns the place of the item `index` of the array at this place.
  [[nodiscard]] JsonPlace Item(std::size_t index) const;
};

}  // namespace briarlead

#endif  // BRIARLEAD_JSON_JSON_PLACE_H_
