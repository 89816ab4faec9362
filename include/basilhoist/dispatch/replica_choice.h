// Chooses among the replicas of a service.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "basilhoist/dispatch/server_stats.h"

namespace basilhoist {

/// A server to which a request may be sent.
struct replica_candidate {
  server_health health;
  /// Slowness of the server as peers report it; 1 if they report none.
  double reported_slowness = 1;
  /// Requests that the server can process concurrently.
  unsigned slots = 1;
  /// The server is in its cold start.
  bool cold = false;
  /// The server's entry has disappeared; it may be shutting down.
  bool missing = false;
  /// The server is in this instance's failure domain.
  bool local = false;
};

/// Estimates the reply time of one more request, as a multiple of the typical
/// reply time.
/// @param tie a random number from 0 to 1 that decides between equal candidates
double ExpectedTime(const replica_candidate& candidate, double tie);

/// Chooses the candidate with the shortest expected time.
/// @param tie a random number from 0 to 1 that decides between equal candidates
/// @return its index, or nothing if there are no candidates
std::optional<std::size_t> ChooseReplica(
    const std::vector<replica_candidate>& replicas, double tie);

}  // namespace basilhoist
