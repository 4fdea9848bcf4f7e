#ifndef BRIARLEAD_CORE_FINDINGS_H_
#define BRIARLEAD_CORE_FINDINGS_H_

#include <string>
#include <string_view>
#include <vector>

namespace briarlead {

/// One fault of a checked document: where it is and what is expected there.
struct Finding {
  std::string file;     ///< File name as the operator gave it.
  std::string place;    ///< Path inside the document, e.g. "plans[2].weight".
  std::string message;  ///< What was found and what is expected.

  friend bool operator==(const Finding&, const Finding&) = default;
};

/// Collects every fault of a check so that they are reported together.
class Findings {
 public:
  /// Records one fault.
  void Add(std::string_view file, std::string_view place, std::string message);

  /// Records every fault of `other` after those already here.
  void Append(const Findings& other);

  /// Returns true when nothing was found.
  [[nodiscard]] bool empty() const { return items_.empty(); }

  /// Returns the faults in the order in which they were found.
  [[nodiscard]] const std::vector<Finding>& items() const { return items_; }

  /// Returns one line a fault: "file: place: message\n"; a fault of the whole
  /// document has an empty place, which is left out.
  [[nodiscard]] std::string Format() const;

 private:
  std::vector<Finding> items_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_CORE_FINDINGS_H_
