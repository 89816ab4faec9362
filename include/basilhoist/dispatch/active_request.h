// A caller's request from its routing to its answer.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "basilhoist/dispatch/dispatcher.h"
#include "basilhoist/dispatch/service_call.h"
#include "basilhoist/http/http_server.h"

namespace basilhoist {

/// A caller's request that matched a route.
struct routed_request {
  std::shared_ptr<http_exchange> exchange;
  /// Routing table that is used until the request ends, also if a newer one
  /// arrives meanwhile.
  routing_table_ptr table;
  const route* matched = nullptr;
  std::shared_ptr<const outbound_request> outbound;
  instant arrived;
};

/// A shard whose result is missing from the answer.
struct missing_shard {
  std::string service;
  bool relayed = false;  ///< Sent to a relay, not to a backend server.
  unsigned sends = 0;
  microseconds oldest_send_age{0};  ///< Or age of its relay batch.
};

/// Result of a request, for logs and metrics.
struct request_outcome {
  int status = 0;     ///< HTTP status; 0 if the caller disconnected.
  std::string cause;  ///< For the log.
  std::size_t shards = 0;
  std::size_t answered = 0;
  unsigned sends = 0;
  std::vector<missing_shard> missing;
};

using request_outcome_handler = std::function<void(const request_outcome&)>;

/// A request in progress.
class active_request {
 public:
  virtual ~active_request() = default;

  /// Starts the request. The outcome handler may be called before this returns.
  virtual void Start() = 0;

  /// Answers at once, as if the deadline had passed.
  virtual void Expire() = 0;

  /// Cancels the request without an answer, because the caller disconnected.
  virtual void Abandon() = 0;
};

/// @param retry_after when the caller may retry
/// @param why body text
/// @return a 503 answer to a request that has not run
http_reply NotRunReply(const header_names& names, microseconds retry_after,
                       std::string_view why);

/// @param why body text
/// @return an error answer; unlike NotRunReply, it does not guarantee that the
///   request has not run
http_reply FailureReply(int status, std::string_view why);

/// Creates a request that is forwarded to one backend server of a service.
std::shared_ptr<active_request> MakeForwardRequest(
    dispatcher& the_dispatcher, routed_request request, std::string service,
    request_outcome_handler on_outcome);

/// Creates a request that is sent to all shards of its route and whose answer
/// merges their records.
std::shared_ptr<active_request> MakeFanOutRequest(
    dispatcher& the_dispatcher, routed_request request,
    request_outcome_handler on_outcome);

}  // namespace basilhoist
