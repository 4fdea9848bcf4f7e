#ifndef FAKES_ORDER_BOOK_H_
#define FAKES_ORDER_BOOK_H_

#include <cstdint>

namespace briarlead {

/// Decides whether an order may be followed, by its fencing number.
class OrderBook {
 public:
  explicit OrderBook(bool ignore_fencing) : ignore_fencing_(ignore_fencing) {}

  /// Returns whether to follow an order with this number.
  bool Admit(std::uint64_t fencing);

  [[nodiscard]] std::uint64_t highest() const { return highest_; }

 private:
  bool ignore_fencing_;
  std::uint64_t highest_ = 0;
};

}  // namespace briarlead

#endif  // FAKES_ORDER_BOOK_H_
