// Settings of one router process.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "basilhoist/dispatch/retry_budget.h"
#include "basilhoist/link/frame_link.h"

namespace basilhoist {

/// Where a router stands and what it may use.
struct router_settings {
  std::string name;
  std::string failure_domain;
  double cpu_cores = 1;        ///< Cores that the process may use.
  endpoint caller_address;     ///< Callers' requests.
  endpoint readiness_address;  ///< The balancer's question.
  endpoint ops_address;        ///< Dump, metrics, snapshots for peers.
  endpoint peer_address;       ///< Datagrams of peers.
  endpoint store_address;
  /// Where peers may take datagrams, while the store cannot tell.
  std::vector<endpoint> seeds;
  retry_budget_options retry;
  /// From the request to end until the process is killed.
  milliseconds grace_period{6000};

  bool operator==(const router_settings&) const = default;
};

}  // namespace basilhoist
