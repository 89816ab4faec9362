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
struct comeback_rank {
  unsigned priority = 0;  ///< Of the route; 0 is the highest.
  instant deadline;

  auto operator<=>(const comeback_rank&) const = default;
};

/// What a caller waits for.
struct comeback_wait {
  instant earliest;         ///< When requests can be taken again.
  microseconds spacing{0};  ///< Time in which one request can be taken.

  auto operator<=>(const comeback_wait&) const = default;
};

/// Gives each caller a place behind those of the same or a better rank.
class comeback_planner {
 public:
  /// Callers are spread over so long at most; they may not wait much longer.
  static constexpr milliseconds kLongestSpread{2000};

  /// @param key of what callers compete for
  /// @return how long the caller should wait
  microseconds Plan(const std::string& key, const comeback_rank& rank,
                    const comeback_wait& wait, instant now);

 private:
  struct place {
    comeback_rank rank;
    instant at;
  };

  std::map<std::string, std::vector<place>> places_;
};

}  // namespace basilhoist
