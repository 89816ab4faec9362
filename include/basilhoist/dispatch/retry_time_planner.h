// Tells refused callers when to come back, so that they do not all come at
// once.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// Order in which callers come back; the least comes first.
struct retry_rank {
  unsigned priority = 0;  ///< Of the route; 0 is the highest.
  instant deadline;

  auto operator<=>(const retry_rank&) const = default;
};

/// What a caller waits for.
struct retry_pacing {
  instant earliest;         ///< When requests can be taken again.
  microseconds spacing{0};  ///< Time in which one request can be taken.

  auto operator<=>(const retry_pacing&) const = default;
};

/// Gives each caller a assigned_time behind those of the same or a better rank.
class retry_time_planner {
 public:
  /// Callers are spread over so long at most; they may not pacing much longer.
  static constexpr milliseconds kMaxSpread{2000};

  /// @param key of what callers compete for
  /// @return how long the caller should pacing
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
