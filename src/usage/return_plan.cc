#include "basilhoist/usage/return_plan.h"

#include <algorithm>

namespace basilhoist {
namespace {

// Lower rates are not told apart, so that times stay within an hour.
constexpr double kMinRate = 1.0 / 3600;
// Callers without a place, which come back at some time all the same, are
// spread over so many places.
constexpr std::uint32_t kSpread = 32;

}  // namespace

// A caller that does not wait as long takes no place, so those who come after
// it are not told to wait for it.
microseconds return_plan::Next(microseconds earliest, double rate_per_s,
                               microseconds patience, instant now) {
  const microseconds spacing(
      static_cast<std::int64_t>(1e6 / std::max(rate_per_s, kMinRate)));
  const instant place = std::max(now + earliest, next_);
  if (place - now > patience) {
    without_ = (without_ + 1) % kSpread;
    return place - now + without_ * spacing;
  }
  without_ = 0;
  next_ = place + spacing;
  return place - now;
}

}  // namespace basilhoist
