// Memory that many buffers share, so that none of them can use all of it.
#pragma once

#include <cstddef>

namespace basilhoist {

/// Counts the bytes of all buffers of one kind. A limit for each buffer is
/// none for the process: there are hundreds.
class byte_budget {
 public:
  /// @param most bytes for all buffers together
  /// @param always what a single buffer may use though the others use it all
  byte_budget(std::size_t most, std::size_t always)
      : most_(most), always_(always) {}

  /// Takes the new size of a buffer.
  /// @param held its size before, kept by the caller; changed to the new one
  /// @return whether the buffer may go on
  bool Resize(std::size_t& held, std::size_t size) {
    used_ = used_ - held + size;
    held = size;
    return size <= always_ || used_ <= most_;
  }

  [[nodiscard]] std::size_t Used() const { return used_; }

 private:
  std::size_t most_;
  std::size_t always_;
  std::size_t used_ = 0;
};

}  // namespace basilhoist
