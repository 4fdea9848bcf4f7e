#ifndef BRIARLEAD_CORE_FINDINGS_H_
#define BRIARLEAD_CORE_FINDINGS_H_

#include <string>
#include <string_view>
#include <vector>

namespace briarlead {

/// One problem in a checked document: its location and what is expected there.
struct Finding {
  std::string file;     ///< Name of the document, as the operator gave it.
  std::string place;    ///< Path inside the document, e.g. "plans[2].weight".
  std::string message;  ///< What was found and what is expected.

  friend bool operator==(const Finding&, const Finding&) = default;
};

/// Collects all findings of a check so that they are reported together.
class Findings {
 public:
  /// Adds one finding.
  void Add(std::string_view file, std::string_view place, std::string message);

  /// Appends the findings of `other`.
  void Append(const Findings& other);

  /// Returns true when there are no findings.
  [[nodiscard]] bool empty() const { return items_.empty(); }

  /// Returns the findings in the order in which they were added.
  [[nodiscard]] const std::vector<Finding>& items() const { return items_; }

  /// Returns one line per finding: "file: place: message\n". The place of a
  /// finding about the whole document is empty and is omitted.
  [[nodiscard]] std::string Format() const;

 private:
  std::vector<Finding> items_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_CORE_FINDINGS_H_
