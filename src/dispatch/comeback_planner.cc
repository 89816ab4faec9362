#include "basilhoist/dispatch/comeback_planner.h"

#include <algorithm>

namespace basilhoist {

// Those who were told before cannot be told again, so a caller of a better rank
// shares the time of others instead of moving them.
microseconds comeback_planner::Plan(const std::string& key,
                                    const comeback_rank& rank,
                                    const comeback_wait& wait, instant now) {
  std::vector<place>& places = places_[key];
  std::erase_if(places, [now](const place& each) { return each.at < now; });
  const auto before =
      std::count_if(places.begin(), places.end(),
                    [&rank](const place& each) { return each.rank <= rank; });
  const microseconds spread =
      std::min<microseconds>(kLongestSpread, before * wait.spacing);
  const instant at = std::max(now, wait.earliest) + spread;
  places.push_back({.rank = rank, .at = at});
  return at - now;
}

}  // namespace basilhoist
