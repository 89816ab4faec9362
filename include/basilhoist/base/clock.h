// Points in time and time spans for leases, deadlines and timers.
#pragma once

#include <chrono>
#include <cstdint>

namespace basilhoist {

using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;

/// A point in time on a monotonic clock that also advances while the machine
/// is suspended.
class instant {
 public:
  constexpr instant() = default;
  constexpr explicit instant(microseconds since_boot) : since_(since_boot) {}

  /// @return the time since the machine booted
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

/// @return the current time, read from CLOCK_BOOTTIME
instant Now();

/// @return `span` in milliseconds, rounded up
std::int64_t CeilMilliseconds(microseconds span);

/// @return `span` in milliseconds, with the fraction, for reports
double ToMilliseconds(microseconds span);

}  // namespace basilhoist
