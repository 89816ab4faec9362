// Whether a fan-out request can reach its coverage despite the rate limits of
// backend servers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// What the rate limits of servers leave of a request's shards.
struct coverage_outlook {
  std::size_t shards = 0;
  /// Shards with a server that has no rate limit.
  std::size_t unlimited = 0;
  /// Shards all of whose servers are limited, one of which may be sent to from
  /// this instance now.
  std::size_t sendable = 0;
  /// Lowest request rate of such a shard, over all of its servers.
  double lowest_rate_per_s = 0;
  std::string lowest_rate_service;
  /// When the first shard that is not sendable may be again.
  instant earliest;

  bool operator==(const coverage_outlook&) const = default;
};

/// How a request that needs some of its shards is started.
enum class fan_out_admission : std::uint8_t {
  kSend,
  kTry,     ///< Only other instances may reach enough shards.
  kRefuse,  ///< Not enough shards can be reached from any instance.
};

/// @param min_coverage minimum share of the shards in an answer, 0 to 1
/// @param has_relays whether batches can be sent through other instances
fan_out_admission DecideAdmission(const coverage_outlook& outlook,
                                  double min_coverage, bool has_relays);

}  // namespace basilhoist
