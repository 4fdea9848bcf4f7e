#include "briarlead_wire/bearer_field.h"

#include <string_view>
#include <vector>

namespace briarlead {

PresentedKey ReadBearerKey(const HeaderFields& fields) {
  std::vector<std::string_view> values;
  for (const HeaderField& it : fields.items()) {
    if (SameHeaderName(it.name, "Authorization"))
      values.push_back(it.value);
  }
  return ReadBearerKey(values);
}

}  // namespace briarlead
