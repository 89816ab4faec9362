#include "basilhoist/base/clock.h"

#include <ctime>

namespace basilhoist {

instant Now() {
  // A lease must lapse for a process that was stopped or suspended, too.
  // CLOCK_MONOTONIC stands still while the machine is suspended.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return instant(std::chrono::seconds(now.tv_sec) +
                 microseconds(now.tv_nsec / 1000));
}

std::int64_t CeilMilliseconds(microseconds span) {
  return std::chrono::ceil<milliseconds>(span).count();
}

double ToMilliseconds(microseconds span) {
  return static_cast<double>(span.count()) / 1000.0;
}

}  // namespace basilhoist
