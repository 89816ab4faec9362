#include "basilhoist/route/latency_window.h"

#include <algorithm>

namespace basilhoist {

void latency_window::Add(microseconds latency) {
  if (samples_.size() < kSamples) {
    samples_.push_back(latency);
  } else {
    samples_[next_] = latency;
    next_ = (next_ + 1) % kSamples;
  }
  if (++since_refresh_ < kRefreshEvery) return;
  since_refresh_ = 0;
  std::vector<microseconds> sorted = samples_;
  const auto rank = static_cast<std::size_t>(
      quantile_ * static_cast<double>(sorted.size() - 1));
  const auto at = sorted.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(sorted.begin(), at, sorted.end());
  value_ = *at;
}

microseconds latency_window::Quantile(microseconds fallback) const {
  return samples_.size() < kEnough ? fallback : value_;
}

}  // namespace basilhoist
