#include "basilhoist/rollout/canary_share.h"

#include <algorithm>

namespace basilhoist {

void canary_share::OnRequest() {
  if (kept_ < kMaxKept) kept_ = std::min(kMaxKept, kept_ + share_);
}

bool canary_share::Allows(microseconds age) const {
  return kept_ >= 1 && age % kPulsePeriod < kPulse;
}

std::size_t canary_share::ServerOfPulse(std::uint64_t order, microseconds age,
                                        std::size_t servers) {
  if (servers == 0) return 0;
  const auto pulse = static_cast<std::uint64_t>(age / kPulsePeriod);
  return static_cast<std::size_t>((order + pulse) % servers);
}

}  // namespace basilhoist
