// The request line and the headers that are forwarded to backend servers.
#pragma once

#include <string>

#include "basilhoist/dispatch/header_names.h"
#include "basilhoist/http/http_exchange.h"

namespace basilhoist {

/// What is forwarded of the headers of a request, and what is added.
struct outbound_head_options {
  const header_names& names;
  bool has_workspaces = false;  ///< The routing table has workspaces.
  /// Name of the workspace that sent the request; empty if there is none.
  const std::string& workspace_name;
};

/// @return the head to send to every server, without the final empty line
std::string OutboundHead(const http_exchange& exchange,
                         const outbound_head_options& how);

}  // namespace basilhoist
