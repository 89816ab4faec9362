// An immutable routing table, which a new version replaces as a whole, and the
// split of a route's requests among services.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "basilhoist/routing/route.h"
#include "basilhoist/workspace/workspace_directory.h"

namespace basilhoist {

/// The contents of a routing table.
struct routing_table_options {
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::vector<service_settings> services;
  caller_limits limits;
  /// Null if the configuration has no workspaces.
  workspace_directory_ptr workspaces;

  bool operator==(const routing_table_options& other) const;
};

/// An immutable version of all routes and service settings.
class routing_table {
 public:
  explicit routing_table(routing_table_options options);

  [[nodiscard]] std::uint64_t Version() const { return options_.version; }
  [[nodiscard]] const caller_limits& Limits() const { return options_.limits; }
  [[nodiscard]] const workspace_directory_ptr& Workspaces() const {
    return options_.workspaces;
  }
  [[nodiscard]] const std::vector<route>& Routes() const {
    return options_.routes;
  }

  /// Finds the route with the longest path prefix that matches a request.
  /// @param host value of the Host header, with or without a port
  /// @param target path and query of the request
  /// @return the route, or null if none matches
  [[nodiscard]] const route* Find(std::string_view host,
                                  std::string_view target) const;

  /// @return the service's settings, or null if there are none
  [[nodiscard]] const service_settings* Service(const std::string& name) const;

  /// @return whether the service is a shard of fan-out routes, and no route
  ///   sends requests to it alone
  [[nodiscard]] bool IsShardOnly(const std::string& service) const {
    return shards_.contains(service);
  }

  bool operator==(const routing_table& other) const {
    return options_ == other.options_;
  }

 private:
  routing_table_options options_;
  // The routes of each host, longest path prefix first.
  std::map<std::string, std::vector<const route*>, std::less<>> by_host_;
  std::map<std::string, const service_settings*> by_service_;
  std::set<std::string> shards_;  // services that are nothing else
};

using routing_table_ptr = std::shared_ptr<const routing_table>;

/// Splits a route's requests among its services by smooth weighted round robin.
/// Unlike random selection it spreads each service's requests evenly in time.
class weighted_round_robin {
 public:
  /// @param value a route with at least one service
  /// @return the service that gets the next request
  const std::string& Next(const route& value);

 private:
  struct split_state {
    std::vector<weighted_service> services;
    std::vector<double> credit;
  };
  std::map<std::string, split_state> by_route_;
};

}  // namespace basilhoist
