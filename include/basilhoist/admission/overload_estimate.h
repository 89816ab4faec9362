// Estimates which part of the arriving requests the servers of a set of shards
// can answer in time.
#pragma once

#include <cstddef>
#include <vector>

namespace basilhoist {

/// Load of one shard.
struct shard_load {
  /// Share of the recent calls that were answered in time.
  double answered = 1;
  /// Requests in flight at the shard's servers that reply, from all instances,
  /// divided by the slots of these servers.
  double utilization = 0;

  auto operator<=>(const shard_load&) const = default;
};

/// A set of shards and what an answer needs of them.
struct shard_set_load {
  std::vector<shard_load> observed;  ///< Some of the shards.
  std::size_t shards = 0;            ///< All shards of a request.
  double min_coverage = 1;

  auto operator<=>(const shard_set_load&) const = default;
};

/// @param factor rate of requests, as a multiple of the present rate
/// @return the share of the requests that are answered in time with enough
///   shards at that rate
double ShareInTime(const shard_set_load& load, double factor);

/// @return the multiple of the present rate at which most requests per second
///   are answered in time; 1 if a change promises little
double BestRateFactor(const shard_set_load& load);

}  // namespace basilhoist
