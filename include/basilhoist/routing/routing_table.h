// One version of all routes and services; replaced whole, never changed.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "basilhoist/routing/route.h"

namespace basilhoist {

/// The parts of a routing table, for its construction.
struct routing_table_options {
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::vector<service_settings> services;
  caller_limits limits;

  bool operator==(const routing_table_options&) const = default;
};

/// An immutable routing table.
class routing_table {
 public:
  explicit routing_table(routing_table_options options);

  [[nodiscard]] std::uint64_t Version() const { return parts_.version; }
  [[nodiscard]] const caller_limits& Limits() const { return parts_.limits; }
  [[nodiscard]] const std::vector<route>& Routes() const {
    return parts_.routes;
  }

  /// Finds the route with the longest prefix.
  /// @param host the Host header as it came, with or without a port
  /// @param target path and query as they came
  /// @return the route, or null
  [[nodiscard]] const route* Find(std::string_view host,
                                  std::string_view target) const;

  /// @return the service's settings, or null
  [[nodiscard]] const service_settings* Service(const std::string& name) const;

  bool operator==(const routing_table& other) const {
    return parts_ == other.parts_;
  }

 private:
  routing_table_options parts_;
  // Routes of each host, longest prefix first.
  std::map<std::string, std::vector<const route*>, std::less<>> by_host_;
  std::map<std::string, const service_settings*> by_service_;
};

using routing_table_ptr = std::shared_ptr<const routing_table>;

/// Shares a route's requests out to its services by weight. Spreads them
/// evenly in time, which a random draw would not.
class weighted_round_robin {
 public:
  /// @param value a route with at least one service
  /// @return the service whose turn it is
  const std::string& Next(const route& value);

 private:
  struct turns {
    std::vector<weighted_service> services;
    std::vector<double> credit;
  };
  std::map<std::string, turns> by_route_;
};

}  // namespace basilhoist
