// Routes, the services they lead to, and the limits of requests.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// A service and its relative share of a route's requests.
struct weighted_service {
  std::string service;
  double weight = 1;

  auto operator<=>(const weighted_service&) const = default;
};

/// Handling of the requests of one host and path prefix.
struct route {
  std::string name;
  std::string host;
  std::string path_prefix;
  /// A request may be executed more than once.
  bool idempotent = false;
  /// Requests need no API key, also where the configuration has workspaces.
  bool is_public = false;
  /// Maximum time from a request's arrival to its answer.
  milliseconds timeout{0};
  /// Latency objective: the time within which an answer has its full value to
  /// the caller.
  milliseconds objective{0};
  /// Maximum number of backend servers to which one request may be sent; on a
  /// route with shards, for each shard.
  unsigned max_attempts = 1;
  /// Priority class; 0 is the highest.
  unsigned priority = 0;
  /// Services, one of which gets each request; empty if the route has shards.
  std::vector<weighted_service> services;
  /// Services that hold the shards; each request is sent to all of them.
  std::vector<std::string> shards;
  /// Minimum share of the shards that a successful answer covers, 0 to 1.
  double min_coverage = 1;
  /// Maximum number of records in an answer that is merged from shard results.
  std::size_t max_records = 0;

  auto operator<=>(const route&) const = default;

  [[nodiscard]] bool FansOut() const { return !shards.empty(); }
};

/// Settings that all backend servers of one service share.
struct service_settings {
  std::string name;
  std::string health_path;
  /// Maximum number of connections that a server accepts from all instances
  /// together.
  unsigned max_connections = 1;
  /// Duration of a server's cold start.
  milliseconds warmup{0};
  /// Request rate per second that a server can handle during its cold start; 0
  /// for no limit.
  double warmup_rate_per_s = 0;

  auto operator<=>(const service_settings&) const = default;
};

/// Limits of the size and the duration of callers' requests.
struct caller_limits {
  std::size_t max_header_bytes = 65536;
  std::size_t max_body_bytes = 1048576;
  milliseconds header_timeout{10000};
  milliseconds idle_timeout{60000};

  auto operator<=>(const caller_limits&) const = default;
};

}  // namespace basilhoist
