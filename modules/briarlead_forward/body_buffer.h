#ifndef BRIARLEAD_FORWARD_BODY_BUFFER_H_
#define BRIARLEAD_FORWARD_BODY_BUFFER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace briarlead {

/// The bytes that all buffered response bodies of a process hold together.
class BodyBudget {
 public:
  /// Limit of all bodies together, in bytes.
  static constexpr std::size_t kMaxTotalBytes = 24UL << 20;
  /// A body of up to this size, in bytes, is taken whatever the others hold, so
  /// that a few endless ones don't make short ones fail.
  static constexpr std::size_t kSmallBodyBytes = 64UL << 10;

  /// Adds `n` bytes for a body that holds `held`; returns false if they are too
  /// many.
  bool Take(std::size_t held, std::size_t n) {
    if (total_bytes_ + n > kMaxTotalBytes && held + n > kSmallBodyBytes)
      return false;
    total_bytes_ += n;
    return true;
  }
  void Return(std::size_t n) { total_bytes_ -= n; }

  [[nodiscard]] std::size_t total_bytes() const { return total_bytes_; }

 private:
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
    if (bytes_.size() + bytes.size() > kMaxBytes ||
        !budget_.Take(bytes_.size(), bytes.size())) {
      return false;
    }
    bytes_.append(bytes);
    return true;
  }

  /// Removes and returns the body.
  std::string Take() {
    std::string body;
    body.swap(bytes_);
    budget_.Return(body.size());
    return body;
  }
  void Clear() { Take(); }

 private:
  BodyBudget& budget_;
  std::string bytes_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_BODY_BUFFER_H_
