// Divides a capacity among requests by priority and by fairness between
// workspaces.
#pragma once

#include <cstdint>
#include <vector>

namespace basilhoist {

/// Requests of one workspace with one priority.
struct request_demand {
  unsigned priority = 0;  ///< 0 is the highest.
  std::uint64_t workspace = 0;
  double rate = 0;  ///< Cost of the arriving requests per second.

  auto operator<=>(const request_demand&) const = default;
};

/// Serves higher priorities first. Within a priority, the rates are max-min
/// fair: a workspace below the level that the capacity allows is served in
/// full. Everyone keeps a small share, so that no one is shut out.
/// @param capacity cost per second that can be served
/// @return for each demand the share of its requests to admit, 0 to 1
std::vector<double> AllocateShares(const std::vector<request_demand>& demands,
                                   double capacity);

}  // namespace basilhoist
