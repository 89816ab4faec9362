// Settings of one router process.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "basilhoist/dispatch/retry_budget.h"
#include "basilhoist/link/frame_link.h"

namespace basilhoist {

/// Bounds on what a new version of a service's servers may get before it has
/// been judged.
struct rollout_bounds {
  double max_share = 0;  ///< Of the service's requests, over all instances.
  double slack = 0;      ///< Requests beyond that share.
  /// Time after many bad answers until which requests may still be sent.
  milliseconds rollback_delay{0};

  auto operator<=>(const rollout_bounds&) const = default;
};

/// Identity, addresses and limits of a router.
struct router_settings {
  std::string name;
  std::string failure_domain;
  double cpu_cores = 1;  ///< Cores that the process may use.
  /// Memory that the process may use; by default that of a small instance.
  std::size_t memory_bytes = std::size_t{112} << 20U;
  endpoint caller_address;     ///< Serves callers' requests.
  endpoint readiness_address;  ///< Serves the load balancer's probes.
  endpoint ops_address;        ///< Serves dump, metrics and snapshots.
  endpoint peer_address;       ///< Receives peers' datagrams and relay links.
  endpoint store_address;      ///< Of the platform's object store.
  /// Peer addresses known at the start, in case the store cannot list
  /// instances.
  std::vector<endpoint> seeds;
  retry_budget_options retry;
  /// Without bounds, versions of servers are not distinguished.
  std::optional<rollout_bounds> rollouts;
  /// Time from a request to shut down until the process is killed.
  milliseconds grace_period{6000};

  bool operator==(const router_settings&) const = default;
};

}  // namespace basilhoist
