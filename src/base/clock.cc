#include "basilhoist/base/clock.h"

#include <ctime>

namespace basilhoist {

instant Now() {
  // A lease must also expire while its holder is stopped or the machine is
  // suspended. CLOCK_MONOTONIC does not advance during suspension;
  // CLOCK_BOOTTIME does.
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
