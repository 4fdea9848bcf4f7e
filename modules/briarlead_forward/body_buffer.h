#ifndef BRIARLEAD_FORWARD_BODY_BUFFER_H_
#define BRIARLEAD_FORWARD_BODY_BUFFER_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace briarlead {

/// The bytes that all buffered response bodies of a process hold together.
class BodyBudget {
 public:
  /// Limit of all bodies together, in bytes.
  static constexpr std::size_t kMaxTotalBytes = 24UL << 20;
  /// A body of up to this size, in bytes, is taken whatever the others hold, so
  /// that a few endless ones don't make short ones fail.
  static constexpr std::size_t kSmallBodyBytes = 64UL << 10;

  /// The count of all memory of the process, of which the bodies are a part.
  struct Count {
    std::function<bool(std::size_t n)> has_room;
    std::function<void(std::size_t before, std::size_t now)> on_change;
  };

  BodyBudget() = default;
  explicit BodyBudget(Count count) : count_(std::move(count)) {}

  /// Adds `n` bytes for a body that holds `held`; returns false if they are too
  /// many.
  bool Take(std::size_t held, std::size_t n) {
    const bool has_room = total_bytes_ + n <= kMaxTotalBytes &&
                          (!count_.has_room || count_.has_room(n));
    if (!has_room && held + n > kSmallBodyBytes)
      return false;
    SetTotal(total_bytes_ + n);
    return true;
  }
  void Return(std::size_t n) { SetTotal(total_bytes_ - n); }

  [[nodiscard]] std::size_t total_bytes() const { return total_bytes_; }

 private:
  void SetTotal(std::size_t n) {
    if (count_.on_change)
      count_.on_change(total_bytes_, n);
    total_bytes_ = n;
  }

  Count count_;
  std::size_t total_bytes_ = 0;
};

/// Buffers the body of a response that is forwarded as a whole.
class BodyBuffer {
 public:
  /// Limit of one body, in bytes.
  static constexpr std::size_t kMaxBytes = 4UL << 20;

  /// `budget` must outlive the buffer.
  explicit BodyBuffer(BodyBudget& budget) : budget_(budget) {}
  ~BodyBuffer() { Clear(); }
  BodyBuffer(const BodyBuffer&) = delete;
  BodyBuffer& operator=(const BodyBuffer&) = delete;

  /// Appends `bytes`; returns false, and appends nothing, if the body gets too
  /// long.
  bool Append(std::string_view bytes) {
    const std::size_t needed = bytes_.size() + bytes.size();
    if (needed > kMaxBytes || !Reserve(needed))
      return false;
    bytes_.append(bytes);
    return true;
  }

  /// Returns whether the body with `n` bytes more exceeds its own limit.
  [[nodiscard]] bool IsTooLong(std::size_t n) const {
    return bytes_.size() + n > kMaxBytes;
  }

  /// Removes and returns the body.
  std::string Take() {
    std::string body;
    body.swap(bytes_);
    if (counted_ > 0)
      budget_.Return(std::exchange(counted_, 0));
    return body;
  }
  void Clear() { Take(); }

 private:
  /// Counts the memory of a body of `needed` bytes, which grows in steps.
  bool Reserve(std::size_t needed) {
    if (needed <= counted_)
      return true;
    const std::size_t most = needed <= BodyBudget::kSmallBodyBytes
                                 ? BodyBudget::kSmallBodyBytes
                                 : kMaxBytes;
    const std::size_t n = std::min(std::max(needed, 2 * counted_), most);
    if (!budget_.Take(counted_, n - counted_))
      return false;
    counted_ = n;
    // std::string::reserve() may take up to twice the memory that it has.
    std::string larger;
    larger.reserve(n);
    larger.append(bytes_);
    bytes_.swap(larger);
    return true;
  }

  BodyBudget& budget_;
  std::string bytes_;
  std::size_t counted_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_BODY_BUFFER_H_
