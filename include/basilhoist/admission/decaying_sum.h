// A sum whose parts lose half of their weight in a fixed time.
#pragma once

#include <algorithm>
#include <cmath>
#include <numbers>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// Sum of recent values.
class decaying_sum {
 public:
  explicit decaying_sum(microseconds half_life) : half_life_(half_life) {}

  void Add(double value, instant now) {
    sum_ = At(now) + value;
    at_ = std::max(at_, now);
  }

  [[nodiscard]] double At(instant now) const {
    const auto age = std::max(now - at_, microseconds(0));
    return sum_ * std::exp2(-static_cast<double>(age.count()) /
                            static_cast<double>(half_life_.count()));
  }

  /// @return the values added per second, for a steady stream of values
  [[nodiscard]] double PerSecond(instant now) const {
    return At(now) * std::numbers::ln2 /
           std::chrono::duration<double>(half_life_).count();
  }

 private:
  microseconds half_life_;
  double sum_ = 0;
  instant at_;
};

}  // namespace basilhoist
