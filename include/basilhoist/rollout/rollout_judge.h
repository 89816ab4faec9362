// Judges a new version of a service's servers against the old one. Addresses
// versions that fail a part of their requests or are several times slower, on
// all routes or on one, from the start or later.
#pragma once

#include <cstdint>
#include <map>
#include <string_view>

#include "basilhoist/rollout/version_counts.h"

namespace basilhoist {

/// Counts of both versions on one route.
struct route_counts {
  version_counts old_version;
  version_counts target;

  auto operator<=>(const route_counts&) const = default;
};

/// Counts of all instances since the order.
struct rollout_totals {
  std::map<std::uint64_t, route_counts> routes;  ///< By hash of the route.
  /// Times that a server's connections broke off, as one instance at least has
  /// seen them: a server that crashes breaks off many requests at once.
  std::uint32_t breaks_old = 0;
  std::uint32_t breaks_target = 0;
  /// Servers that crashed, each counted once.
  std::uint32_t crashed_old = 0;
  std::uint32_t crashed_target = 0;

  bool operator==(const rollout_totals&) const = default;

  /// @return the sum over all routes, in which breaks count as failures
  [[nodiscard]] route_counts AllRoutes() const;
};

/// What is wrong with a version.
enum class version_fault : std::uint8_t {
  kNone,
  kFails,
  kSlow,
  kCrashes,
};

/// Returns the short name used in logs and dumps.
std::string_view Name(version_fault value);

/// A fault and what shows it.
struct version_finding {
  version_fault fault = version_fault::kNone;
  std::uint64_t route = 0;    ///< 0 if all routes together show it.
  std::uint32_t answers = 0;  ///< Of the target version there.
  double bad_share = 0;       ///< Of the target version.
  double old_bad_share = 0;

  auto operator<=>(const version_finding&) const = default;
};

/// @return the first fault that the counts show beyond chance
version_finding FindFault(const rollout_totals& totals);

}  // namespace basilhoist
