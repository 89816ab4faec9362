// Options of a router's HTTP servers.
#pragma once

#include "basilhoist/base/endpoint.h"
#include "basilhoist/dispatch/header_names.h"
#include "basilhoist/http/http_server.h"

namespace basilhoist {

/// @return options of a server for callers; the limits of the routing table
///   apply once it is known
http_server_options CallerListenerOptions(const endpoint& where,
                                          unsigned max_connections,
                                          const memory_budget_ptr& memory,
                                          const header_names& names);

/// @return options of a server for probes or operators, whose requests have no
///   body
http_server_options InternalListenerOptions(const endpoint& where,
                                            unsigned max_connections,
                                            const memory_budget_ptr& memory);

}  // namespace basilhoist
