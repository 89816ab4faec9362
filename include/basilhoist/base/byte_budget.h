// A memory budget shared by many buffers, so that no single buffer can use up
// all of it.
#pragma once

#include <cstddef>
#include <functional>
#include <utility>

namespace basilhoist {

/// Tracks the total size of all buffers of one kind. A limit on each buffer
/// alone does not bound the memory of the process, which has hundreds of them.
class byte_budget {
 public:
  /// @param max_total_bytes limit on the total size of all buffers
  /// @param guaranteed_bytes size that each buffer may always reach, even when
  ///   the total is over its limit
  byte_budget(std::size_t max_total_bytes, std::size_t guaranteed_bytes)
      : max_total_bytes_(max_total_bytes),
        guaranteed_bytes_(guaranteed_bytes) {}

  /// Records the new size of a buffer, also when it exceeds the budget.
  /// @param counted the buffer's size as last recorded, stored by the caller;
  ///   set to `size`
  /// @param size the buffer's new size in bytes
  /// @return whether the new size is within the budget
  bool Resize(std::size_t& counted, std::size_t size) {
    used_ = used_ - counted + size;
    counted = size;
    if (on_change_) on_change_(used_);
    return size <= guaranteed_bytes_ || used_ <= max_total_bytes_;
  }

  /// Sets a function that is called with each new total size.
  void OnChange(std::function<void(std::size_t)> on_change) {
    on_change_ = std::move(on_change);
  }

  /// @return the total size of all buffers in bytes
  [[nodiscard]] std::size_t Used() const { return used_; }

 private:
  std::size_t max_total_bytes_;
  std::size_t guaranteed_bytes_;
  std::size_t used_ = 0;
  std::function<void(std::size_t)> on_change_;
};

}  // namespace basilhoist
