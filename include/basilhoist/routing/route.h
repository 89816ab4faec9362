// Routes: which requests go to which services, and under which limits.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// A service and its part of a route's requests.
struct weighted_service {
  std::string service;
  double weight = 1;

  auto operator<=>(const weighted_service&) const = default;
};

/// Where requests of one host and path prefix go.
struct route {
  std::string name;
  std::string host;
  std::string path_prefix;
  /// Requests may run more than once.
  bool idempotent = false;
  /// Longest time that a caller is kept waiting.
  milliseconds timeout{0};
  /// Time within which an answer has its full value.
  milliseconds objective{0};
  /// Most backend servers that one request may be sent to; for each shard.
  unsigned max_attempts = 1;
  /// Rank; 0 goes first.
  unsigned priority = 0;
  /// One of these takes each request; empty where the route has shards.
  std::vector<weighted_service> services;
  /// All of these get each request.
  std::vector<std::string> shards;
  /// Least share of the shards that a success covers, 0 to 1.
  double min_coverage = 1;
  /// Most records of an answer that is merged from shards.
  std::size_t max_records = 0;

  auto operator<=>(const route&) const = default;

  [[nodiscard]] bool FansOut() const { return !shards.empty(); }
};

/// What all backend servers of one service have in common.
struct service_settings {
  std::string name;
  std::string health_path;
  /// Connections that a server takes from all callers together.
  unsigned max_connections = 1;
  /// How long a server stays cold after its start.
  milliseconds warmup{0};
  /// Requests a second that a cold server bears; 0 sets no limit.
  double warmup_rate_per_s = 0;

  auto operator<=>(const service_settings&) const = default;
};

/// What a caller may send, and how long it may take.
struct caller_limits {
  std::size_t max_header_bytes = 65536;
  std::size_t max_body_bytes = 1048576;
  milliseconds header_timeout{10000};
  milliseconds idle_timeout{60000};

  auto operator<=>(const caller_limits&) const = default;
};

}  // namespace basilhoist
