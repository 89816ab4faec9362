#include "basilhoist/rollout/version_counts.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace basilhoist {

std::size_t ReplyTimeBucket(microseconds reply_time) {
  constexpr double kFirstEndUs = 1000;
  constexpr double kBucketsPerDoubling = 2;
  const auto time = static_cast<double>(reply_time.count());
  if (time <= kFirstEndUs) return 0;
  const double bucket =
      std::ceil(kBucketsPerDoubling * std::log2(time / kFirstEndUs));
  return std::min(kReplyTimeBuckets - 1, static_cast<std::size_t>(bucket));
}

void version_counts::Add(version_result result, microseconds reply_time) {
  if (result == version_result::kAnswered) {
    ++answered.at(ReplyTimeBucket(reply_time));
  } else {
    ++failed;
  }
}

version_counts& version_counts::operator+=(const version_counts& other) {
  failed += other.failed;
  std::transform(answered.begin(), answered.end(), other.answered.begin(),
                 answered.begin(), std::plus<>());
  return *this;
}

std::uint32_t version_counts::Answers() const { return failed + SlowerThan(0); }

std::uint32_t version_counts::SlowerThan(std::size_t bucket) const {
  const auto first = answered.begin() + static_cast<std::ptrdiff_t>(
                                            std::min(bucket, answered.size()));
  return std::accumulate(first, answered.end(), std::uint32_t{0});
}

std::size_t version_counts::MedianBucket() const {
  const std::uint32_t all = SlowerThan(0);
  std::uint32_t seen = 0;
  for (std::size_t i = 0; i < answered.size(); ++i) {
    seen += answered.at(i);
    if (2 * seen >= all) return i;
  }
  return answered.size() - 1;
}

}  // namespace basilhoist
