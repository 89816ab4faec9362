// Reads callers' HTTP requests.
#pragma once

#include <string>

#include "basilhoist/entry/entry_task.h"
#include "basilhoist/http/http_server.h"

namespace basilhoist::internal {

/// A request, or what is wrong with it.
struct parse_outcome {
  int status = 200;  ///< HTTP status; 200 if it can run.
  std::string fault;
  caller_request request;
};

/// @param entry knows the service groups
parse_outcome ParseCallerRequest(const http_exchange& exchange,
                                 const entry_task& entry);

}  // namespace basilhoist::internal
