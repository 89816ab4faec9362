// What clients and peers may use of a router's instance.
#pragma once

#include <cstddef>

#include "basilhoist/memory/memory_budget.h"

namespace basilhoist {

/// Limits on the listeners of one router.
struct client_limits {
  memory_budget_options memory;
  unsigned caller_connections = 0;
  unsigned readiness_connections = 0;
  unsigned ops_connections = 0;
  std::size_t peer_links = 0;

  bool operator==(const client_limits&) const = default;
};

/// @param memory_bytes memory that the process may use
/// @param descriptors limit on the open descriptors of the process
client_limits ClientLimits(std::size_t memory_bytes, std::size_t descriptors);

/// @return the limit on the open descriptors of this process
std::size_t DescriptorLimit();

/// @param max_header_bytes limit of the routing table on a request's head
/// @return the limit at which a head is refused before it is complete
std::size_t RawHeadLimit(std::size_t max_header_bytes);

}  // namespace basilhoist
