// By how much an instance is behind with its work.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// Least delay of a periodic timer over the last periods. An instance whose
/// processor time is granted in slices is late at single ticks without being
/// behind.
class loop_delay {
 public:
  static constexpr milliseconds kPeriod{50};

  /// @param delay how late the timer ran
  void OnTick(microseconds delay) {
    delays_[next_++ % delays_.size()] = std::max(delay, microseconds(0));
  }

  [[nodiscard]] microseconds Lasting() const {
    return *std::min_element(delays_.begin(), delays_.end());
  }

 private:
  static constexpr std::size_t kTicks = 8;
  std::array<microseconds, kTicks> delays_{};
  std::size_t next_ = 0;
};

}  // namespace basilhoist
