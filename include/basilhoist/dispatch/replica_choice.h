// The choice among the replicas of a service.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "basilhoist/dispatch/server_stats.h"

namespace basilhoist {

/// A server that may be used, and what is known of it.
struct replica_candidate {
  server_health health;
  unsigned slots = 1;
  bool cold = false;
  /// Its entry has vanished; it may be leaving.
  bool missing = false;
  /// It stands in this instance's failure domain.
  bool local = false;
};

/// @param tie a random number that decides between equals
/// @return the expected time of one more request, relative to the usual
double ExpectedTime(const replica_candidate& candidate, double tie);

/// Chooses the replica with the least expected time.
/// @param tie a random number from 0 to 1 that decides between equals
/// @return its index, or nothing where there is none
std::optional<std::size_t> ChooseReplica(
    const std::vector<replica_candidate>& replicas, double tie);

}  // namespace basilhoist
