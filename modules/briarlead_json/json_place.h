#ifndef BRIARLEAD_JSON_JSON_PLACE_H_
#define BRIARLEAD_JSON_JSON_PLACE_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace briarlead {

/// Where a value stands: its file, and its path inside the document, for
/// example "plans[2].uses[0].rank". The path of the whole document is empty.
struct JsonPlace {
  std::string file;
  std::string path;

  /// Returns the place of the member `key` of the object that stands here. A
  /// key that is no plain word is quoted and, if long, shortened.
  [[nodiscard]] JsonPlace Member(std::string_view key) const;

  /// Returns the place of the item `index` of the array that stands here.
  [[nodiscard]] JsonPlace Item(std::size_t index) const;
};

}  // namespace briarlead

#endif  // BRIARLEAD_JSON_JSON_PLACE_H_
