#include "basilhoist/router/listener_options.h"

#include "basilhoist/dispatch/active_request.h"
#include "basilhoist/router/client_limits.h"

namespace basilhoist {
namespace {

constexpr int kUnavailable = 503;
// Larger than any limit that operators are expected to set. It applies to
// callers until a routing table is known; the table's limit is also checked on
// each complete request.
constexpr std::size_t kMaxBodyBytes = 8U << 20U;
// Probes and requests for state have no body.
constexpr std::size_t kMaxInternalBodyBytes = 4096;
// Earliest retry of a caller that is refused for lack of memory or because of
// too many connections: by then those that wait have given way.
constexpr milliseconds kRetryWithoutRoom{100};

}  // namespace

http_server_options CallerListenerOptions(const endpoint& where,
                                          unsigned max_connections,
                                          const memory_budget_ptr& memory,
                                          const header_names& names) {
  return {.address = where.address,
          .port = where.port,
          .max_connections = max_connections,
          .max_body_bytes = kMaxBodyBytes,
          .memory = memory,
          .make_error_reply = [names](int status, std::string_view why) {
            return status == kUnavailable
                       ? NotRunReply(names, kRetryWithoutRoom, why)
                       : FailureReply(status, why);
          }};
}

http_server_options InternalListenerOptions(const endpoint& where,
                                            unsigned max_connections,
                                            const memory_budget_ptr& memory) {
  return {.address = where.address,
          .port = where.port,
          .max_connections = max_connections,
          .max_head_bytes = RawHeadLimit(0),
          .max_body_bytes = kMaxInternalBodyBytes,
          .memory = memory};
}

}  // namespace basilhoist
