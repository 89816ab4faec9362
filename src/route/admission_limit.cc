#include "basilhoist/route/admission_limit.h"

#include <algorithm>

namespace basilhoist {
namespace {

constexpr double kFirstLimit = 8;
constexpr double kLeastLimit = 1;
constexpr double kDecrease = 0.9;
// One crowded moment is seen by many requests; it counts once.
constexpr microseconds kBetweenDecreases = milliseconds(50);

}  // namespace

admission_limit::admission_limit(std::uint32_t most)
    : most_(most), limit_(std::min<double>(most, kFirstLimit)) {}

void admission_limit::SetMost(std::uint32_t most) {
  most_ = most;
  limit_ = std::min(limit_, most_);
}

bool admission_limit::Enter() {
  if (in_flight_ >= Limit()) return false;
  ++in_flight_;
  return true;
}

void admission_limit::Leave(microseconds worst_wait, microseconds target,
                            bool refused, instant now) {
  // Only a limit that is nearly reached says anything when raised.
  const bool used = in_flight_ * 2 >= Limit();
  --in_flight_;
  if (worst_wait > target || refused) {
    if (now - last_decrease_ < kBetweenDecreases) return;
    last_decrease_ = now;
    limit_ = std::max(kLeastLimit, limit_ * kDecrease);
    return;
  }
  if (used) limit_ = std::min(most_, limit_ + 1.0 / limit_);
}

std::uint32_t admission_limit::Limit() const {
  return static_cast<std::uint32_t>(limit_);
}

}  // namespace basilhoist
