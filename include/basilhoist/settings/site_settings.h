// What operators say about their half: services, limits, failure domains.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "basilhoist/base/clock.h"
#include "basilhoist/base/error.h"
#include "basilhoist/link/frame_link.h"
#include "basilhoist/settings/json_source.h"

namespace basilhoist {

/// What a backend server of a group can take.
struct server_limits {
  std::uint32_t slots = 1;                ///< Requests in flight when warm.
  std::uint32_t connections = 2;          ///< Open connections.
  milliseconds connect_time{1};           ///< Cost of a new connection.
  std::uint32_t cold_in_flight = 1;       ///< Requests in flight when cold.
  std::uint32_t successes_per_step = 10;  ///< Successes before one more.

  auto operator<=>(const server_limits&) const = default;
};

/// How requests of a group are handled; see docs/operators.md.
struct request_policy {
  milliseconds default_deadline{1000};  ///< When the caller gives none.
  milliseconds attempt_timeout{900};    ///< Longest sub-request.
  /// Second attempts, as a share of first attempts.
  double second_attempt_share = 0.05;
  /// Retries after a refusal or a failure, as a share of first attempts.
  double retry_share = 0.1;
  /// After this span an answer that lacks shards is given all the same.
  milliseconds partial_after{1000};
  std::uint32_t max_in_flight = 500;  ///< Requests in one instance.

  auto operator<=>(const request_policy&) const = default;
};

/// One server that holds a replica.
struct backend_server {
  std::string name;
  endpoint where;
  std::string failure_domain;

  auto operator<=>(const backend_server&) const = default;
};

/// Backend servers that serve the same shards.
struct service {
  std::string name;
  std::vector<backend_server> servers;

  auto operator<=>(const service&) const = default;
};

/// What one kind of caller asks: a query goes to all its services.
struct service_group {
  std::string name;
  server_limits limits;
  request_policy policy;
  bool queries = false;  ///< Callers may query all shards.
  bool lookups = false;  ///< Callers may look up one record.
  bool once = false;     ///< Callers may send requests not to be repeated.
  std::vector<service> services;

  auto operator<=>(const service_group&) const = default;
};

/// The checked settings of one site.
struct site_settings {
  std::string site;
  std::string region;
  std::vector<std::string> failure_domains;
  std::vector<service_group> groups;

  auto operator<=>(const site_settings&) const = default;
};

/// One backend server with what its group says about it.
struct server_entry {
  backend_server server;
  std::string group;
  std::string service;
  server_limits limits;
  request_policy policy;

  bool operator==(const server_entry&) const = default;
};

/// @return every backend server of the site by name
std::map<std::string, server_entry> IndexServers(const site_settings& settings);

/// Checks a merged source and reads it.
/// @return the settings, or error_code::kSettings with every fault found
leaf::result<site_settings> CheckSettings(const json_source& merged);

/// Reads a base file and an overlay, merges and checks them.
/// @param base_path the shared base file
/// @param overlay_path the site's overlay
/// @return the settings, or an error with every fault found
leaf::result<site_settings> LoadSettings(const std::string& base_path,
                                         const std::string& overlay_path);

/// Finds backend servers that two halves both name.
/// @return one fault for each server named by both
std::vector<fault> FindSharedServers(const std::vector<site_settings>& halves,
                                     const std::vector<json_source>& sources);

}  // namespace basilhoist
