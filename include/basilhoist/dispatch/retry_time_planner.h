// Assigns retry times to refused callers, so that they do not all retry at
// once.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// Order in which callers retry; the lowest rank retries first.
struct retry_rank {
  unsigned priority = 0;  ///< Of the route; 0 is the highest.
  instant deadline;

  auto operator<=>(const retry_rank&) const = default;
};

/// When and how fast requests can be accepted again.
struct retry_pacing {
  instant earliest;         ///< When requests can be accepted again.
  microseconds spacing{0};  ///< Time needed for each accepted request.

  auto operator<=>(const retry_pacing&) const = default;
};

/// Schedules each caller after those of the same or a lower rank.
class retry_time_planner {
 public:
  /// Maximum time over which retries are spread, since callers may not be able
  /// to wait much longer.
  static constexpr milliseconds kMaxSpread{2000};

  /// @param key identifies the resource that callers compete for
  /// @return how long the caller should wait before it retries
  microseconds Plan(const std::string& key, const retry_rank& rank,
                    const retry_pacing& pacing, instant now);

 private:
  struct assigned_time {
    retry_rank rank;
    instant at;
  };

  std::map<std::string, std::vector<assigned_time>> assigned_;
};

}  // namespace basilhoist
