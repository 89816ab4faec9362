// The latest latencies of something, and their quantiles.
#pragma once

#include <cstddef>
#include <vector>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// Keeps the last latencies; a quantile is refreshed every few samples.
class latency_window {
 public:
  /// @param quantile the one to keep, between 0 and 1
  explicit latency_window(double quantile) : quantile_(quantile) {}

  void Add(microseconds latency);

  /// @return the quantile, or `fallback` until there are enough samples
  [[nodiscard]] microseconds Quantile(microseconds fallback) const;

 private:
  static constexpr std::size_t kSamples = 1024;
  static constexpr std::size_t kEnough = 64;
  static constexpr std::size_t kRefreshEvery = 32;

  double quantile_;
  std::vector<microseconds> samples_;
  std::size_t next_ = 0;
  std::size_t since_refresh_ = 0;
  microseconds value_{0};
};

}  // namespace basilhoist
