// What operators see of a router: its dump and its metrics.
#pragma once

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <optional>
#include <string>

#include "basilhoist/backend/backend_pool.h"
#include "basilhoist/dispatch/dispatcher.h"
#include "basilhoist/router/client_monitor.h"
#include "basilhoist/router/cluster_state.h"
#include "basilhoist/router/request_handler.h"
#include "basilhoist/router/router_settings.h"
#include "basilhoist/usage/usage_exchange.h"

namespace basilhoist {

/// The parts of a router that its status describes.
struct router_parts {
  const router_settings& settings;
  const server_directory& directory;
  const backend_pool& pool;
  const dispatcher& dispatch;
  const request_handler& requests;
  const usage_exchange& usage;
  const std::optional<rollout_controller>& rollouts;
  const cluster_state& cluster;
  const http_server& caller_server;
  const client_monitor& clients;
};

/// Formats the dump and the metrics of a router.
class router_status {
 public:
  explicit router_status(const router_parts& parts);

  /// Called with the time from a request's arrival to its answer.
  void OnLatency(microseconds took);

  /// @param ready whether readiness probes succeed
  /// @return the answer to /dump
  [[nodiscard]] std::string Dump(bool ready) const;

  /// @return the answer to /metrics
  [[nodiscard]] std::string Metrics() const;

 private:
  router_parts parts_;
  prometheus::Registry registry_;
  prometheus::Histogram& answer_latency_;
};

}  // namespace basilhoist
