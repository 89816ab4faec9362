// Counts of the answers of one version of a service's servers.
#pragma once

#include <array>
#include <cstdint>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// Buckets of reply times; each is the square root of two as wide as the one
/// before. The first one ends at 1 ms, the last one has no end.
inline constexpr std::size_t kReplyTimeBuckets = 28;

/// @return the bucket of a reply time
std::size_t ReplyTimeBucket(microseconds reply_time);

/// How an answer of a server ended.
enum class version_result : std::uint8_t {
  kAnswered,
  kFailed,
  kBroken,  ///< The connection ended before the answer was complete.
};

/// Answers of one version on one route.
struct version_counts {
  std::uint32_t failed = 0;
  /// Answers that were no failures, by reply time.
  std::array<std::uint32_t, kReplyTimeBuckets> answered{};

  auto operator<=>(const version_counts&) const = default;

  /// @param reply_time of an answer that is no failure
  void Add(version_result result, microseconds reply_time);
  version_counts& operator+=(const version_counts& other);

  [[nodiscard]] std::uint32_t Answers() const;
  /// @return answers in the given bucket or a later one
  [[nodiscard]] std::uint32_t SlowerThan(std::size_t bucket) const;
  /// @return the bucket of the median of the answers that were no failures
  [[nodiscard]] std::size_t MedianBucket() const;
};

}  // namespace basilhoist
