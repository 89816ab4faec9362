// A request as it is sent to backend servers.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "basilhoist/base/clock.h"
#include "basilhoist/dispatch/crash_guard.h"
#include "basilhoist/dispatch/relay_candidates.h"
#include "basilhoist/workspace/api_key.h"

namespace basilhoist {

/// The part of a request that its calls to all services share.
struct outbound_request {
  /// Request line and headers sent to every server, without the final empty
  /// line.
  std::string head;
  std::shared_ptr<const std::string> body;
  bool is_head_method = false;
  std::string request_id;
  std::string route_name;
  /// Name of the workspace that sent the request; empty if there is none.
  std::string workspace;
  /// Digest of the API key that the route requires. Once no workspace holds the
  /// key any more, the request is not sent any more.
  std::optional<api_key_digest> api_key;
  /// Priority of the workspace, else of the route; 0 is the highest.
  unsigned priority = 0;
  request_identity identity;
  /// Services that have answered the request; shared by its calls.
  std::shared_ptr<request_answers> answers =
      std::make_shared<request_answers>();
  bool idempotent = false;
  /// The request is sent to one service, not to shards.
  bool is_single = false;
  /// The caller has tried before, so it will not try again.
  bool is_retry = false;
  /// Limit on the servers of a service that may run the request.
  unsigned max_attempts = 1;
  /// Part of this instance if the request is relayed. The relay and the
  /// instance that used it may both send the request, but together they reach
  /// no more servers than the route allows.
  relay_part part = relay_part::kNone;
  /// Failure domain of the relay; empty if the request is not relayed.
  std::string relay_domain;
  /// Latency objective of the route.
  microseconds objective{0};
  /// Time by which the answer must be sent to meet the latency objective.
  instant objective_at;
  /// Time by which the answer must be sent at the latest.
  instant deadline;
};

}  // namespace basilhoist
