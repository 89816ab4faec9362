#include "basilhoist/dispatch/retry_time_planner.h"

#include <algorithm>

namespace basilhoist {

// Those who were told before cannot be told again, so a caller of a better rank
// shares the time of others instead of moving them.
microseconds retry_time_planner::Plan(const std::string& key,
                                      const retry_rank& rank,
                                      const retry_pacing& pacing, instant now) {
  std::vector<assigned_time>& assigned = assigned_[key];
  std::erase_if(assigned,
                [now](const assigned_time& each) { return each.at < now; });
  const auto before = std::count_if(
      assigned.begin(), assigned.end(),
      [&rank](const assigned_time& each) { return each.rank <= rank; });
  const microseconds spread =
      std::min<microseconds>(kMaxSpread, before * pacing.spacing);
  const instant at = std::max(now, pacing.earliest) + spread;
  assigned.push_back({.rank = rank, .at = at});
  return at - now;
}

}  // namespace basilhoist
