// A workspace: the callers that share API keys, a priority and a usage limit.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace basilhoist {

/// Limit on the requests of one workspace, over all instances together.
struct usage_limit {
  double rate_per_s = 0;  ///< Requests per second; 0 for no limit.
  double burst = 0;       ///< Requests that may be ahead of the rate.

  auto operator<=>(const usage_limit&) const = default;

  [[nodiscard]] bool Unlimited() const { return rate_per_s <= 0; }
};

/// Callers that share API keys, a priority and a usage limit.
struct workspace {
  std::string name;
  std::vector<std::string> api_keys;  ///< Secrets; never logged or dumped.
  /// Priority of its requests instead of the route's; 0 is the highest.
  std::optional<unsigned> priority;
  usage_limit limit;

  bool operator==(const workspace&) const = default;
};

}  // namespace basilhoist
