// A caller's request on its way through the tier.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "basilhoist/dispatch/dispatcher.h"
#include "basilhoist/dispatch/service_call.h"
#include "basilhoist/http/http_server.h"

namespace basilhoist {

/// A request that matched a route.
struct routed_request {
  std::shared_ptr<http_exchange> exchange;
  routing_table_ptr table;  ///< Of the version that the request keeps.
  const route* matched = nullptr;
  std::shared_ptr<const outbound_request> outbound;
  instant arrived;
};

/// A shard that an answer leaves out.
struct missing_shard {
  std::string service;
  bool relayed = false;  ///< Another instance had it.
  unsigned sends = 0;
  microseconds oldest_send_age{
      0};  ///< Age of its oldest send, or of its batch.
};

/// Why a request ended as it did, for logs and metrics.
struct request_outcome {
  int status = 0;
  std::string cause;
  std::size_t shards = 0;
  std::size_t answered = 0;
  unsigned sends = 0;
  std::vector<missing_shard> missing;
};

using request_outcome_handler = std::function<void(const request_outcome&)>;

/// A request that is being worked on.
class active_request {
 public:
  virtual ~active_request() = default;

  /// Begins; the end handler may run inside.
  virtual void Start() = 0;

  /// Answers now as if the deadline had passed.
  virtual void Expire() = 0;

  /// The caller has left: drops all work, sends nothing.
  virtual void Abandon() = 0;
};

/// @return a refusal that says that the request has not run
http_reply NotRunReply(const header_names& names, microseconds retry_after,
                       std::string_view why);

/// @return a failure that promises nothing
http_reply FailureReply(int status, std::string_view why);

/// Sends a request to one server of a service.
std::shared_ptr<active_request> MakeForwardRequest(
    dispatcher& shared, routed_request request, std::string service,
    request_outcome_handler on_end);

/// Sends a request to all shards of its route and merges their records.
std::shared_ptr<active_request> MakeFanOutRequest(
    dispatcher& shared, routed_request request, request_outcome_handler on_end);

}  // namespace basilhoist
