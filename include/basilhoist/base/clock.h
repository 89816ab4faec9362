// Time as used for leases and deadlines.
#pragma once

#include <chrono>
#include <cstdint>

namespace basilhoist {

using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;

/// A point on a clock that never goes back and counts suspended time.
class instant {
 public:
  constexpr instant() = default;
  constexpr explicit instant(microseconds since_boot) : since_(since_boot) {}

  /// @return time since the machine started, in microseconds
  [[nodiscard]] constexpr microseconds SinceBoot() const { return since_; }

  constexpr auto operator<=>(const instant&) const = default;
  constexpr instant operator+(microseconds span) const {
    return instant(since_ + span);
  }
  constexpr instant operator-(microseconds span) const {
    return instant(since_ - span);
  }
  constexpr microseconds operator-(instant other) const {
    return since_ - other.since_;
  }

 private:
  microseconds since_{0};
};

/// @return the present instant, read from CLOCK_BOOTTIME
instant Now();

/// @return a span rounded up to whole milliseconds
std::int64_t CeilMilliseconds(microseconds span);

/// @return a span in milliseconds with its fraction, for reports
double ToMilliseconds(microseconds span);

}  // namespace basilhoist
