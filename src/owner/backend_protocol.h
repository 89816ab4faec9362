// The HTTP protocol of backend servers.
#pragma once

#include <string>

#include "basilhoist/http/http_client.h"
#include "basilhoist/link/messages.h"
#include "basilhoist/owner/server_gate.h"
#include "basilhoist/settings/site_settings.h"

namespace basilhoist::internal {

/// What a backend server's reply says.
struct backend_reply {
  attempt_end end = attempt_end::kLost;
  subreply reply;
  std::string incarnation;
  bool draining = false;
};

/// @return the call that runs a sub-request
/// @param time_left until the sub-request's deadline
http_call MakeRunCall(const backend_server& server, const subrequest& request,
                      const request_payload& payload, microseconds time_left);

/// @return the call that asks the server to give a sub-request up
http_call MakeCancelCall(const backend_server& server,
                         const std::string& request_id);

/// @return the id that a server echoes for a sub-request
std::string BackendRequestId(const subrequest& request,
                             const request_payload& payload);

/// Reads a reply. An echo that names other work counts as lost.
backend_reply ReadBackendReply(http_result& result, const subrequest& request,
                               const request_payload& payload);

}  // namespace basilhoist::internal
