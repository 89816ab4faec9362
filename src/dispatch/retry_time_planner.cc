#include "basilhoist/dispatch/retry_time_planner.h"

#include <algorithm>

namespace basilhoist {

// Times already sent to callers cannot be changed, so a caller of a lower rank
// gets the same time as others instead of displacing them.
microseconds retry_time_planner::Plan(const std::string& key,
                                      const retry_rank& rank,
                                      const retry_pacing& pacing, instant now) {
  std::vector<assigned_time>& assigned = assigned_[key];
  std::erase_if(assigned,
                [now](const assigned_time& each) { return each.at < now; });
  const auto ahead = std::count_if(
      assigned.begin(), assigned.end(),
      [&rank](const assigned_time& each) { return each.rank <= rank; });
  const microseconds spread =
      std::min<microseconds>(kMaxSpread, ahead * pacing.spacing);
  const instant at = std::max(now, pacing.earliest) + spread;
  assigned.push_back({.rank = rank, .at = at});
  return at - now;
}

}  // namespace basilhoist
