#include "briarlead_core/findings.h"

#include <utility>

namespace briarlead {

void Findings::Add(std::string_view file,
                   std::string_view place,
                   std::string message) {
  items_.push_back({std::string(file), std::string(place), std::move(message)});
}

void Findings::Append(const Findings& other) {
  items_.insert(items_.end(), other.items_.begin(), other.items_.end());
}

std::string Findings::Format() const {
  std::string text;
  for (const Finding& finding : items_) {
    text += finding.file + ": ";
    if (!finding.place.empty())
      text += finding.place + ": ";
    text += finding.message + "\n";
  }
  return text;
}

}  // namespace briarlead
